#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/skylarkridged.cjs ] && [ -f target/review-3/11.mjs ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec node target/review-3/11.mjs
