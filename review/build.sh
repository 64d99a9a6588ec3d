#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/harness \
    "$source" -o "target/review/case-$name" &
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
exit $status
