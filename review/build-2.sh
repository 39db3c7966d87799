#!/usr/bin/env bash
# Prepares the scripts of the second review. Their stand-ins are plain modules of Node and need no compilation: this checks that each of them parses, and that the build of the deploy file was made.
set -eu
cd "$(dirname "$0")"
for module in support-2/*.mjs [4-8]/*.mjs; do
  [ ! -e "$module" ] || node --check "$module"
done
[ -e ../target/eidermast-gateway.mjs ]
