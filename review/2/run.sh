#!/usr/bin/env bash
# A heartbeat whose id is no text reaches the core, and the configuration changes. TROUBLE=0 leaves out the heartbeat.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=2 100 review/bin/stand heartbeat target/tamarack-node review/2/record.txt
