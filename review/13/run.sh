#!/bin/sh
# Runs this case. Exit code 1: the rule is broken, 0: it held, 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/platform ] || [ ! -x review/bin/harness3 ]; then
	echo "build deploy/system.toml and review/build-3.sh first" >&2
	exit 2
fi
exec review/bin/harness3 reborn-dark review/13/record.txt
