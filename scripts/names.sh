#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/, its stand-ins and the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='"(Response-Seal|Prompt-Prefix|Token-Usage|Kv-Source|Kv-Target|Kv-Until|Not-Executed|Weight-Versions|Expect-Instance|Expect-Version|Cache-Salt|Tenant-Id|Credential|Deadline-Ms|Instance-Id|Cold-Ms|Server-Leaving|Store-Era|op/config|op/evacuate/|servers/)"|/-/kv-|/-/order|/-/report'
if grep -rnE "$names" --include='*.go' cmd internal | grep -vE '_test\.go:|^internal/standin/hosted/'; then
  echo "names of the platform belong in platform/" >&2
  exit 1
fi
