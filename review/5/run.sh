#!/usr/bin/env bash
# A late ping after many processes were killed; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[[ -x build-review/late-ping && -x target/figwind-platform ]] || exit 2
exec build-review/late-ping review/5/record.txt
