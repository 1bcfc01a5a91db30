#!/usr/bin/env bash
# Fails if a header, key or setting specific to the users' platform occurs in
# code, tests or build files outside platform/. Documents and bench/ may use them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Server-Stamp|Not-Executed|Prompt-Prefix|Expect-Instance|Expect-Version|Length-Hint|Weight-Versions'
names+='|weight-versions|Request-Priority|Server-Load|Replica-Id|Deadline-Ms|store-revision|cold-left-ms'
names+='|"Credential"|api-keys|Duty-Holder|Fence-Token|path-prefix|max-attempts|CARDAMOMSTILE_CONFIG'
if git grep -nE "$names" -- '*.cpp' '*.h' '*.py' CMakeLists.txt ':!platform' ':!bench'; then
  echo "platform-specific names found outside platform/" >&2
  exit 1
fi
