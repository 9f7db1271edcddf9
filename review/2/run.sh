#!/bin/sh
# Plays the case "config"; see claim.txt. Needs the build of the deploy file and
# review/build.sh. Exit code: 1 broken, 0 held, 2 could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/platform ] && [ -x review/bin/harness ] || exit 2
exec review/bin/harness config "$folder/record.txt"
