#!/usr/bin/env bash
# Bursts of non-idempotent requests beside frozen nodes; see claim.txt.
cd "$(dirname "$0")/../.."
exec build-review/freeze review/1/record.txt
