#!/usr/bin/env bash
# Builds the stand-ins of the second review, which its scripts start. The system itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/rig ./review/standin-2
