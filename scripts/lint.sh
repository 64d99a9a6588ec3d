#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all sources without arguments.
# A source that has passed is not checked again while its preprocessed text, the
# configuration and the version of clang-tidy stay the same. The results are
# kept in LENTILRACK_LINT_CACHE (default: ~/.cache/lentilrack-lint).
set -euo pipefail
cd "$(dirname "$0")/.."
cache=${LENTILRACK_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/lentilrack-lint}
mkdir -p "$cache"

# Prints a hash of all that the result of the check of a source depends on.
# Comments belong to it, since they can switch checks off.
lint_key() {
  # The functions run in shells of their own, which do not inherit this option.
  # Without it a failed preprocessor would yield the hash of a part of its text.
  set -o pipefail
  local flags
  flags=$(jq -r --arg file "$PWD/$1" '.[] | select(.file == $file) | .command' \
    build/debug/compile_commands.json | head -n 1 |
    sed -e 's/^[^ ]* //' -e 's/ -o [^ ]* -c [^ ]*$//' -e 's/ -fsanitize=[^ ]*//' \
      -e 's/\\"/"/g')
  [ -n "$flags" ] || return 1
  # shellcheck disable=SC2086
  {
    cat .clang-tidy scripts/lint.sh
    clang-tidy-16 --version
    printf '%s\n' "${flags//$PWD/}"
    # Headers may contain the time of the compilation.
    SOURCE_DATE_EPOCH=0 g++ $flags -E -dD -P -C "$1" | sed "s|$PWD||g"
  } | sha256sum | cut -d' ' -f1
}

lint_file() {
  local key
  key=$(lint_key "$1") || key=
  [ -n "$key" ] && [ -e "$cache/$key" ] && return 0
  # Asio 1.74 does not detect coroutine support of clang with libstdc++ 12.
  clang-tidy-16 --quiet -p build/debug "$1" \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE \
    --extra-arg=-Wno-unknown-warning-option || return 1
  [ -z "$key" ] || : >"$cache/$key"
}
export cache
export -f lint_key lint_file

[ -f build/debug/compile_commands.json ] || cmake --preset debug >/dev/null
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(find src platform tests bench -name '*.cpp' | sort)
fi
printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -I{} bash -c 'lint_file {}' \
  2> >(grep -v 'warnings generated' >&2)
