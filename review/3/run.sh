#!/usr/bin/env bash
# The leader is cut off from the store, another one sends orders, and the store comes back from a copy. Exits with 1 if the old leader acts.
set -euo pipefail
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review/standin old-leader "$folder"
