#!/usr/bin/env bash
# A gateway's process is killed and starts again while transactions of other machines are open. TROUBLE=0 leaves out the kill.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=2 100 review/bin/stand lease target/tamarack-node review/1/record.txt
