#!/usr/bin/env bash
# Plays the case "stale-report". See claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stage ] && [ -x target/radishspoked ] || exit 2
exec target/stage stale-report review/6/record.txt
