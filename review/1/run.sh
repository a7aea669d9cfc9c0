#!/usr/bin/env bash
# Bursts of non-idempotent requests beside frozen nodes; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[[ -x build-review/freeze && -x target/figwind-platform ]] || exit 2
exec build-review/freeze review/1/record.txt
