#!/usr/bin/env bash
# Builds the stand-ins of all cases. They use only the standard library, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/stand .
