#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./cmd/gypsum-standin
go build -tags review -o target/review/standin ./review/standin
