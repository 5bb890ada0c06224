#!/usr/bin/env bash
# Builds the program that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig3
