#!/bin/sh
# Checks every model to completion and requires that each of its variants with
# one guard off is refuted. A line of the table: model, then the guards.
set -eu
cd "$(dirname "$0")"

models="
log.pml VOTE_AFTER_LOST_DISK COMMIT_WITHOUT_QUORUM NO_LEASE_CHECK VOTE_FOR_OLD_LOG COUNT_OLD_TERM
"

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# verify MODEL [DEFINE]: builds and runs the checker in a folder of its own.
verify() {
	folder="$out/$1-${2:-whole}"
	mkdir -p "$folder"
	(
		cd "$folder"
		spin ${2:+-D$2} -a "$OLDPWD/$1" >spin.out 2>&1
		cc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -DMEMLIM=3000 -o pan pan.c >cc.out 2>&1
		./pan -m2000000 >pan.out 2>&1
	) || { cat "$folder"/*.out; exit 1; }
}

# whole MODEL: no error, every state searched.
whole() {
	verify "$1"
	result="$out/$1-whole/pan.out"
	if ! grep -q 'errors: 0' "$result" || grep -q -e 'max search depth too small' -e 'Search not completed' "$result"; then
		echo "$1: not proved"
		cat "$result"
		exit 1
	fi
	echo "$1: holds, $(awk '/states, stored/ {print $1; exit}' "$result") states"
}

# refuted MODEL GUARD: the checker must find a violation.
refuted() {
	verify "$1" "$2"
	if ! grep -q 'assertion violated' "$out/$1-$2/pan.out"; then
		echo "$1 without $2: not refuted"
		cat "$out/$1-$2/pan.out"
		exit 1
	fi
	echo "$1 with $2: refuted"
}

echo "$models" | while read -r model guards; do
	[ -f "$model" ] || continue
	whole "$model"
	for guard in $guards; do
		refuted "$model" "$guard"
	done
done
