#!/usr/bin/env bash
# A request that crashes the replicas that run it comes again and again, while the machines are restarted in turn (unless TROUBLE=0).
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/rig poison review/9
