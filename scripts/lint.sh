#!/usr/bin/env bash
# Usage: lint.sh BUILD_DIR [FILE...]
# Runs clang-tidy on the given files, by default on every source file except
# those in fuzz/. BUILD_DIR must be configured.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '^fuzz/')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -P "${LINT_JOBS:-$(nproc)}" -n 2 clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2 || true)
