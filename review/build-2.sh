#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file: nothing. Their stand-ins
# are Python modules, review/*2.py and those in platform/. Fails if these or the built program can't be used.
set -eu
cd "$(dirname "$0")/.."
test -x target/cardamomd
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:platform python3 -c 'import engines2, stage2, steps2, tomllib'
