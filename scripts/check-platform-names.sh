#!/usr/bin/env bash
# Fails when a name of the users' platform occurs outside platform/ in code,
# tests or build files. Documents and the bench's journal may name them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Server-Stamp|Not-Executed|Prompt-Prefix|Expect-Instance|Expect-Version|Length-Hint|Weight-Versions'
names+='|weight-versions|Request-Priority|Server-Load|Replica-Id|Deadline-Ms|store-revision|cold-left-ms'
names+='|path-prefix|max-attempts|CARDAMOMSTILE_CONFIG'
if git grep -nE "$names" -- '*.cpp' '*.h' '*.py' CMakeLists.txt ':!platform' ':!bench'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
