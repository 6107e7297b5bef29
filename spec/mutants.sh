#!/bin/sh
# Turns the guards of the models off one by one; exits non-zero when one gives no counterexample.
# Four searches run side by side.
cd "$(dirname "$0")" || exit 2

one() { # MODEL safety|progress GUARD [-Dswitch ...]
	m=$1; w=$2; g=$3; shift 3
	./pan.sh "$m" "$w" "-DOFF=$g" "$@"
	[ $? -eq 1 ] || { echo "NOT FOUND: $m $g"; exit 1; }
}
if [ "${1:-}" = one ]; then shift; one "$@"; exit 0; fi

list() {
	for g in NO_GUARD DISPATCH_FIRST NO_OWN_ROW TAKE_PENDING OUTAGE_RUN NO_RELEASE NO_TOMBSTONE NO_REWRITE \
		NO_SETTLE_GUARD NO_RETRY; do echo once safety $g; done
	echo keeping safety NO_STATE_CHECK -DREQ=1
	echo keeping safety NO_LAPSE_START -DPROMPT=1
	echo keeping safety NO_LAPSE_FREES -DPROMPT=1
	echo keeping progress NO_OMIT_FREES -DREQ=1 -DTWO=0 -DKILL=0
	echo keeping progress NO_RESEND -DREQ=1 -DTWO=0 -DKILL=0
	echo keeping progress NO_DEAD_FREES -DREQ=1 -DFAULTS=0
	for g in NO_CONDITION UNHEARD_LOST UNHEARD_WON ADOPT_ANY FROM_ANSWER NEVER_STOP START_TRUSTING; do
		echo config safety $g; done
	echo config progress NO_READ -DTICKS=0 -DFAULTS=0
	for g in NO_CONDITION SAME_NUMBER NO_LAPSE_WAIT NO_LONGEST_WAIT NO_MARGIN FROM_ANSWER NO_CHECK UNHEARD_GRANTED \
		REVOKE_ANYWAY WITH_PAUSES; do echo order safety $g -DENGINE=IGNORES; done
	for g in RESEND REFUSE_SENT NO_LOOK KEEP_OPEN; do echo handover safety $g; done
	echo handover progress NO_END
	for g in NO_WAIT NO_RESERVE ISOLATED_FREE; do echo warmup safety $g; done
	for g in NO_GRACE OWN_SILENCE BY_CLOCK ANY_CONTACT; do echo departure safety $g; done
	for g in NO_WAIT ANY_AGE OLD_LIST BY_ARRIVAL; do echo software safety $g; done
	for g in NO_REGISTER NO_LEASE NO_CONDITION ANY_ERA NO_SETTLE; do echo register safety $g; done
	echo order progress NO_LOOK -DENGINE=PAUSED -DFAULTS=0
	echo order progress NO_DECLARED -DENGINE=PAUSED -DFAULTS=0
}
list | xargs -P 4 -L 1 ./mutants.sh one
