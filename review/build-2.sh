#!/usr/bin/env bash
# Prepares what the scripts of this review start. The stand-ins are plain modules for Node.js without dependencies, so
# nothing is compiled: they are only checked. The nodes are built by the `build` line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [0-9]*/run.mjs; do node --check "$file"; done
