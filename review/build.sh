#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/stand-ins/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O2 -pthread -o "build-review/$name" "$source"
done
