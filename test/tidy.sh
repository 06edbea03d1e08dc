#!/usr/bin/env bash
# Fails when clang-tidy finds anything (.clang-tidy names the checks): tidy.sh SOURCE BUILD JOBS [FILE...]; without files
# in all of src and platform.
set -euo pipefail
source_dir=$(realpath "$1")
build_dir=$(realpath "$2")
jobs=$3
shift 3
commands_dir=$(mktemp -d)
trap 'rm -rf "$commands_dir"' EXIT

# Clang can't read GCC's precompiled headers, and calls the standard by its draft's name; sanitizers only cost it time.
# It implements the concepts that libstdc++ asks for in <expected>, though it doesn't yet say so by this macro.
sed -E -e 's/ -include [^ ]*cmake_pch\.hxx//; s/ -(W|f(no-)?sanitize)[^ ]*//g' \
  -e 's/ -std=c\+\+23/ -std=c++2b -U__cpp_concepts -D__cpp_concepts=202002L/' \
  "$build_dir/compile_commands.json" > "$commands_dir/compile_commands.json"
cd "$source_dir"
if [ $# -eq 0 ]; then mapfile -t files < <(find src platform -name '*.cpp'); else files=("$@"); fi
printf '%s\0' "${files[@]}" |
  xargs -0 -P "$jobs" -n 1 clang-tidy-16 -p "$commands_dir" --quiet
