#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are plain JavaScript without dependencies: this only checks that Node.js reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
