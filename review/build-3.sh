#!/bin/sh
# Builds what the scripts of the third review start, into review/bin: one program that
# has the stand-ins of the project (platform/standin) and runs the cases.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off go build -o bin/harness3 ./harness3
