#!/bin/sh
# Builds what the scripts of cases 4 to 8 start, after the build of the deploy file and without a network. The
# stand-ins are plain JavaScript that Node.js runs as it is, so only their syntax is checked here.
set -eu
cd "$(dirname "$0")/.."
for program in target/core.cjs target/edge.cjs; do
  [ -f "$program" ] || { echo "missing: $program; run the build of deploy/system.toml first" >&2; exit 1; }
done
for file in review/stand-ins-2/*.mjs review/[4-8]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
