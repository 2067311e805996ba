#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review's cases into review/build/, with the packages that the project has.
set -eu
cd "$(dirname "$0")/.."
for package in esbuild undici neverthrow typebox; do
  [ -d "node_modules/$package" ] || { npm ci --silent; break; }
done
node review/lib/build.mjs
