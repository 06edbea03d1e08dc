#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, which are programs of their own: one for each case, in review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build/case-$(dirname "$source")" "$source"
done
