#!/usr/bin/env bash
# Runs case 9. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/stand2 ] && [ -x ../../target/tamarack-node ] || { echo "build first: the deploy file's build line and review/build-2.sh"; exit 2; }
exec ../../target/stand2 evacuee "$PWD" "$PWD/../../target/tamarack-node"
