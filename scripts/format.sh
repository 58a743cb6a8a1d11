#!/usr/bin/env bash
# Formats the C++ sources in place; with --check, only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
  # shellcheck disable=SC2086
  clang-format --dry-run --Werror $files
else
  # shellcheck disable=SC2086
  clang-format -i $files
fi
