#!/usr/bin/env bash
# Slow clients beside non-idempotent requests; see claim.txt.
cd "$(dirname "$0")/../.."
exec build-review/slow-client review/2/record.txt
