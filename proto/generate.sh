#!/bin/sh
# Generates lib/wire from the schemas; needs protoc, protoc-gen-go, protoc-gen-twirp.
set -eu
cd "$(dirname "$0")"
protoc --proto_path=. \
	--go_out=../lib/wire --go_opt=paths=source_relative \
	--twirp_out=../lib/wire --twirp_opt=paths=source_relative \
	*.proto
