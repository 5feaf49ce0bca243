#!/usr/bin/env bash
# Builds the cases of the third review, with the stand-ins that they start.
# Run it after the build of the deploy file; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/1[1-5]/case.ts; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  node_modules/.bin/esbuild "$case" --bundle --platform=node --format=esm \
    --target=node20 --log-level=warning \
    --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' \
    --outfile="target/review-3/$number.mjs"
done
