#!/bin/sh
# Builds the stand-ins that the scripts of this folder start, into review/bin/.
# It needs no network: the module uses the standard library and the project's
# own stand-ins only.
set -e
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/ ./harness
