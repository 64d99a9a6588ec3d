#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3. Needs the
# packages of the deploy file and nothing else.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
out=$root/target/review-3
mkdir -p "$out"
pids=()
for name in http standins trainer cases; do
  g++ -std=c++20 -O1 -Wall -c "$root/review/harness-3/$name.cpp" \
    -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
g++ "$out"/{http,standins,trainer,cases}.o -pthread -o "$out/cases"
