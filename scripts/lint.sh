#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all sources without arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/debug/compile_commands.json ] || cmake --preset debug >/dev/null
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(find src platform tests bench -name '*.cpp' | sort)
fi
# Asio 1.74 does not detect coroutine support of clang with libstdc++ 12.
printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -n 1 clang-tidy-16 \
  --quiet -p build/debug \
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE \
  --extra-arg=-Wno-unknown-warning-option 2> >(grep -v 'warnings generated' >&2)
