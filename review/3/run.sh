#!/usr/bin/env bash
# A planned stop beside requests that take long; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[[ -x build-review/stop-slow && -x target/figwind-platform ]] || exit 2
exec build-review/stop-slow review/3/record.txt
