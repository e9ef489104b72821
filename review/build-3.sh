#!/bin/sh
# Builds the stand-ins of the third review into target/, after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/../standin"
GOFLAGS=-mod=readonly GOPROXY=off go build -o ../target/stand-3 ../review/stand-3/*.go
