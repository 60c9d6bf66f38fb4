#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness-2
