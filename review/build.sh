#!/bin/sh
# Builds the stand-ins of the scripts. They are plain Node.js programs without
# dependencies, so that only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in support/*.mjs [0-9]*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
