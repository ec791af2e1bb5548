#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/9 to review/13, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig-3
