#!/usr/bin/env bash
# A late ping after many processes were killed; see claim.txt.
cd "$(dirname "$0")/../.."
exec build-review/late-ping review/3/record.txt
