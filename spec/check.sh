#!/bin/sh
# Verifies every model exhaustively, and requires a violation in each variant
# that has one guard switched off. Runs at_a_time searches in parallel.
#
#   check.sh                              all searches
#   check.sh whole MODEL [DEFINE...]      one search that must find no violation
#   check.sh refuted MODEL [DEFINE...]    one search that must find a violation
set -eu
cd "$(dirname "$0")"
at_a_time=5

# Each line: model | bounds | guards. The model is checked with all guards, then
# once for each guard with that guard switched off, under the same bounds.
# Without bounds the model's defaults apply; without guards only the model with
# all guards is checked; with the prefix "variants" only the variants are.
searches="
log.pml | | VOTE_AFTER_LOST_DISK COMMIT_WITHOUT_QUORUM NO_LEASE_CHECK VOTE_FOR_OLD_LOG FORGET_VOTE FORGET_PROMISE VOTE_DESPITE_PROMISE ACKNOWLEDGE_BEFORE_SYNC
log.pml | TERMS=2 ENTRIES=5 LOSSES=2 |
variants log.pml | TERMS=4 ENTRIES=3 LOSSES=0 | COUNT_OLD_TERM
ledger.pml | EPOCHS=1 DEATHS=1 LOST=1 JOIN=1 | NO_FENCE UNPROVED_START ANY_COORDINATOR ANSWER_FIRST RESTART_ON_LOSS NO_BAR UNSETTLED_HOLD
ledger.pml | EPOCHS=1 DEATHS=0 LATE=1 AGAIN=1 | NO_CLAIM UNRECORDED_REFUSAL REFUSE_UNASKED
ledger.pml | EPOCHS=1 DEATHS=0 LOST=1 LATE=1 | OLD_CLAIM
ledger.pml | EPOCHS=1 DEATHS=0 LOST=1 LATE=1 AGAIN=1 |
ledger.pml | QUICK EPOCHS=3 DEATHS=2 LOSSES=0 | PRIMARY_ALONE NO_EPOCH NO_SHARED_MEMBER NO_COPY UNCOUNTED_JOINING STALE_READ NO_LEASE NO_LOST_AT
ledger.pml | QUICK EPOCHS=4 DEATHS=0 LOSSES=0 | NO_RECONFIRM
ledger.pml | QUICK EPOCHS=2 DEATHS=2 LOST=1 LOSSES=0 | LOST_HOLDER
run.pml | | STOP_IS_END
run.pml | CUT=1 LATE=1 | NO_NOT_AFTER WATCH_UNHALTED REFUSE_UNANSWERED
variants run.pml | CUT=1 AGENT_FREEZES=1 | SHORT_SILENCE SILENCE_FROM_ANSWER
run.pml | CUT=1 APART=1 CRASHES=1 |
run.pml | ENTRY_KILLS=1 CUT=1 AGENT_FREEZES=1 | RENEW_ON_ARRIVAL START_UNCHECKED START_OUTLASTED COUNT_FROZEN_OUT RESEND=5
run.pml | ENTRY_KILLS=1 APART=1 AGENT_FREEZES=1 LATE=1 | HOLD_UNCHECKED HOLD_DESPITE_STOP
run.pml | ENTRY_KILLS=1 AGENT_KILLS=1 | CLEARED_AT_ONCE
variants run.pml | CUT=1 AGENT_KILLS=1 AGENT_FREEZES=1 | HOLD_BEFORE_CLEARED
run.pml | LATE=1 CRASHES=1 AGENT_KILLS=1 | NO_FENCE REFUSE_UNSETTLED ID_ONLY
run.pml | ENTRY_FREEZES=1 LATE=1 | NO_GAP
run.pml | SUSPENSIONS=1 CUT=1 | START_BY_SILENCE CALLER_LEAVES COUNT_SUSPENDED
run.pml | SUSPENSIONS=1 AGENT_KILLS=1 |
run.pml | ENTRY_KILLS=1 LATE=1 ARRIVAL | AGENT_FREEZES=1 AGENT_KILLS=1
job.pml | | ACKNOWLEDGE_BEFORE_SYNC KEEP_OVERWRITES START_UNASKED FORGET_BEFORE_STORED LAST_STATE_CHANGES CLAIM_AT_ONCE CLAIM_FROM_MEMBER CLAIM_OF_ANY_EPOCH CLAIM_WITHOUT_EPOCH
job.pml | DEATHS=2 LOSSES=0 |
job.pml | ENTRIES=2 CRASHES=1 | NOTE_OF_ANY_EPOCH
"

# list prints a line for each search: expected result, model, defines.
list() {
	echo "$searches" | while IFS='|' read -r model bounds guards; do
		[ -n "$model" ] || continue
		case $model in
		variants*) model=${model#variants } ;;
		*) echo whole $model $bounds ;;
		esac
		for guard in $guards; do
			echo refuted $model $bounds $guard
		done
	done
}

# verify MODEL [DEFINE...]: builds and runs the checker, whose output goes to pan.out.
verify() {
	path=$PWD/$1
	shift
	defines=
	for one in "$@"; do
		defines="$defines -D$one"
	done
	(
		cd "$out"
		# shellcheck disable=SC2086
		spin $defines -a "$path" >spin.out 2>&1 &&
			cc $optimise -w -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -DMEMLIM=3000 -o pan pan.c >cc.out 2>&1 &&
			./pan -m3000000 >pan.out 2>&1
	) || fail "$path: the checker did not run" spin.out cc.out pan.out
}

# fail MESSAGE FILE...: prints the files and the message, and exits.
fail() {
	message=$1
	shift
	(cd "$out" && cat "$@" 2>/dev/null) || true
	echo "$message"
	exit 1
}

states() {
	awk '/states, stored/ {print $1; exit}' "$out/pan.out"
}

# whole MODEL [DEFINE...]: requires that all states were searched without a violation.
whole() {
	optimise=-O1
	verify "$@"
	if ! grep -q 'errors: 0' "$out/pan.out" || grep -q -e 'too small' -e 'not completed' "$out/pan.out"; then
		fail "$*: not proved" pan.out
	fi
	echo "$*: holds in all of $(states) states"
}

# refuted MODEL [DEFINE...]: requires that the checker finds a violation.
refuted() {
	# These searches are short: optimised compilation would take most of the time.
	optimise=-O0
	verify "$@"
	grep -q 'assertion violated' "$out/pan.out" || fail "$*: not refuted" pan.out
	echo "$*: refuted after $(states) states"
}

if [ $# -eq 0 ]; then
	list | xargs -P "$at_a_time" -L 1 ./check.sh
	exit
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$@"
