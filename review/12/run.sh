#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/stand-3 ] && [ -x ../../target/tamarack-node ] || exit 2
exec ../../target/stand-3 evacuation ../../target/tamarack-node record.txt
