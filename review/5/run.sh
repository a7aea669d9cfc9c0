#!/usr/bin/env bash
# A departure at a node that has just been restarted; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[[ -x build-review/early-departure && -x target/figwind-platform ]] || exit 2
exec build-review/early-departure review/5/record.txt
