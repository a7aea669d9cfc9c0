#!/usr/bin/env bash
# Slow clients beside non-idempotent requests; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[[ -x build-review/slow-client && -x target/figwind-platform ]] || exit 2
exec build-review/slow-client review/2/record.txt
