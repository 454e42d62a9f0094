#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the programs that the deploy file
# builds. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
GOPROXY=off go build -tags review -o target/stage ./review/stage
