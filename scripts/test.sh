#!/usr/bin/env bash
# Runs the format check, the linter, the unit tests under the address and
# undefined-behaviour sanitizers, the tests labelled "thread" under the thread
# sanitizer, and a bounded run of each fuzz target. Runs all tests of the plain
# build last, so that the output ends with ctest's summary.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
# Regular expression for the tests that KNOWN-RED.txt names: the first word of
# each line.
known_red="^(none)$"
if [ -s KNOWN-RED.txt ]; then
  known_red="^($(awk '/^[a-z]/ { gsub(/\./, "\\."); print $1 }' KNOWN-RED.txt | paste -sd '|'))$"
fi

configure() {
  local dir=$1
  shift
  cmake -S . -B "$dir" -G Ninja "$@" >"$dir.configure.log" 2>&1 || { cat "$dir.configure.log"; return 1; }
}

mkdir -p build
# Lets clones in different folders share ccache entries.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
echo "== formatter"
scripts/check-format.sh

echo "== names of the platform"
scripts/check-platform-names.sh

echo "== build"
configure build
cmake --build build -j "$jobs" | tail -n 1

echo "== linter"
scripts/lint.sh build

echo "== address and undefined-behaviour sanitizers"
configure build-asan -DCARDAMOM_SANITIZE=address
cmake --build build-asan --target unit_tests -j "$jobs" | tail -n 1
ctest --test-dir build-asan -j 4 --output-on-failure -LE process -E "$known_red"

echo "== thread sanitizer"
configure build-tsan -DCARDAMOM_SANITIZE=thread
cmake --build build-tsan --target unit_tests -j "$jobs" | tail -n 1
ctest --test-dir build-tsan -j 4 --output-on-failure -L thread -E "$known_red"

echo "== fuzz targets"
scripts/fuzz.sh

echo "== tests"
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures that are not run:"
  cat KNOWN-RED.txt
fi
ctest --test-dir build -j 4 --output-on-failure -E "$known_red"
