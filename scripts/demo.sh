#!/usr/bin/env bash
# Runs the main job of both customers on stand-ins: six entries in three zones, 1,000 mixed requests each.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'for d in "$work"/*/; do scripts/cluster.sh stop "$d"; done; rm -rf "$work"' EXIT
scripts/hosted.sh
port=21000
for customer in le-goff teranga; do
  dir=$work/$customer
  bin/gypsum-load layout --dir "$dir" --customer "$customer" --base-port "$port" --entries 6
  scripts/cluster.sh start "$dir"
  bin/gypsum-load run --dir "$dir" --requests "${REQUESTS:-1000}" --parallel 40
  scripts/cluster.sh stop "$dir"
  port=$((port + 200))
done
