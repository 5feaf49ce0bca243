#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, besides the daemon of
# the deploy file: one program for each case, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/*/case.ts; do
  number=$(basename "$(dirname "$case")")
  npx esbuild "$case" --bundle --platform=node --format=esm --target=node20 \
    --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' \
    --log-level=warning --outfile="target/review-2/case-$number.mjs"
done
