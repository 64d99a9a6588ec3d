#!/usr/bin/env bash
# Installs missing packages, builds with sanitizers and runs all tests. Tests
# listed in KNOWN-RED.txt are printed and skipped.
set -euo pipefail
cd "$(dirname "$0")"
scripts/install.sh
cmake --preset debug >/dev/null
cmake --build --preset debug
skip=()
if [ -f KNOWN-RED.txt ]; then
  pattern=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
  if [ -n "$pattern" ]; then
    echo "Known failing tests, skipped:"
    cat KNOWN-RED.txt
    skip=(-E "^($pattern)\$")
  fi
fi
ctest --preset debug "${skip[@]}"
