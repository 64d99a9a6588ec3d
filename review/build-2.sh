#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 6 to 10 into target/review-2.
# Needs the build of the deploy file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=(review/harness-2/*.cpp tests/soak/store_server.cpp
  tests/gateway/fake_store.cpp)
objects=()
pids=()
for source in "${sources[@]}"; do
  object=target/review-2/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -Isrc -I. -Itests -Itests/gateway \
    -DSPDLOG_FMT_EXTERNAL -DSPDLOG_SHARED_LIB -DSPDLOG_COMPILED_LIB \
    -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
g++ -o target/review-2/review-2 "${objects[@]}" \
  target/liblentilrack_adapter.a target/liblentilrack_gateway.a \
  target/liblentilrack_backends.a target/liblentilrack_net.a \
  target/liblentilrack_wire.a target/liblentilrack_core.a \
  -lspdlog -lfmt -lpopt -lsodium -lxxhash -lpthread
