#!/usr/bin/env bash
# Checks what the scripts of the cases 6 to 10 start. The stand-ins are plain
# Node.js modules without dependencies; the program itself is built by the
# `build` line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs {6,7,8,9,10}/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
[ -e ../target/jasminegauge.cjs ] || {
  echo "Run the build line of deploy/system.toml first." >&2
  exit 1
}
