#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for file in target/thymecove-node.cjs review/build/case-4.mjs; do
  [ -f "$file" ] || { echo "not run: $file is not built"; exit 2; }
done
exec node review/build/case-4.mjs
