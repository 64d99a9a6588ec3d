#!/usr/bin/env bash
# Formats all sources; with --check only reports what is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
find src platform tests bench -name '*.cpp' -o -name '*.h' |
  xargs -r -P "$(nproc)" -n 8 clang-format "${mode[@]}"
