#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start, besides the daemon of the deploy file's build, and what KNOWN-RED.txt names of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases ./review/cases
go build -o target/review-rig ./review/rig
go build -o target/review-standin3 ./review/standin3
