#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs only Go and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/lab
