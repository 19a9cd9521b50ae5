#!/bin/bash
# Prepares the stand-ins of the review cases. They are plain JavaScript without dependencies, so nothing is
# compiled: this checks that Node.js can load each of them. The service itself is built by deploy/service.toml.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
echo 'review stand-ins: ok'
