#!/usr/bin/env bash
# Formats all sources. With --check, only reports unformatted sources and fails
# if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
find src platform tests bench -name '*.cpp' -o -name '*.h' |
  xargs -r -P "$(nproc)" -n 8 clang-format "${mode[@]}"
