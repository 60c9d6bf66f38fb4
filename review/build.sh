#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program that holds the store, the servers, the clients and the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/harness ./review/harness
