#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -o ../../target/stand2 .
