#!/usr/bin/env bash
# Runs each fuzz target on FUZZ_RUNS inputs (default 100000) with a fixed seed.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${FUZZ_RUNS:-100000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCARDAMOM_FUZZ=ON \
  -DCARDAMOM_SANITIZE=address >build-fuzz.configure.log 2>&1 || { cat build-fuzz.configure.log; exit 1; }
for source in fuzz/*.cpp; do
  [ -e "$source" ] || continue
  target=$(basename "$source" .cpp)
  cmake --build build-fuzz --target "$target" | tail -n 1
  build-fuzz/"$target" -runs="$runs" -seed=1 -max_len=4096 >"build-fuzz.$target.log" 2>&1 ||
    { tail -n 50 "build-fuzz.$target.log"; exit 1; }
  echo "$target: $runs inputs, seed 1"
done
