#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The daemon is built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/play
