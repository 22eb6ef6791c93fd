#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of the deploy file and without a network. They are plain
# JavaScript that uses only Node.js's own modules, so it checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for script in [0-9]*/*.mjs; do node --check "$script"; done
