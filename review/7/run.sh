#!/usr/bin/env bash
# Plays the case "turns". See claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stage ] && [ -x target/radishspoked ] || exit 2
exec target/stage turns review/7/record.txt
