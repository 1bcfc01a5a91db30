#!/usr/bin/env bash
# The stand-ins are Python modules of the standard library only (review/, platform/): nothing to compile.
# Checks that they can be loaded and that the program of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib, sys
for path in [*pathlib.Path("review").rglob("*.py"), pathlib.Path("platform/standin_platform.py")]:
    ast.parse(path.read_text())
PY
test -x target/cardamomd
