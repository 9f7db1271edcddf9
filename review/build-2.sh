#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o bin/harness2 ./harness2
