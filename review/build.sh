#!/bin/sh
# The stand-ins of the scripts are plain JavaScript for Node.js 20 and import
# nothing but Node.js and each other, so there is nothing to compile. This
# checks that each of them can be read.
set -e
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
