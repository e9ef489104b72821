#!/usr/bin/env bash
# A primary is cut off from the core and replaced while callers write to it all the time. TROUBLE=0: no partition.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=2 115 review/bin/stand lost target/tamarack-node review/4/record.txt
