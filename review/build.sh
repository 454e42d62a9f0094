#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/1/drill ./review/2/manifest
