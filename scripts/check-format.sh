#!/usr/bin/env bash
# Fails if clang-format would change a source file.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror
