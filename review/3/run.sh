#!/usr/bin/env bash
# A primary is cut off and replaced while a transaction that only reads is open there. TROUBLE=0 leaves out the partition.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=2 100 review/bin/stand stale target/tamarack-node review/3/record.txt
