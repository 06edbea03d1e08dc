#!/usr/bin/env bash
# Fails when a source file differs from what .clang-format makes of it.
cd "$1" || exit 1
find src platform test -name '*.[ch]pp' -print0 | xargs -0 clang-format --dry-run --Werror
