/* At most once: pkg/once, docs/design/at-most-once.md.
 *
 * One idempotency key. Attempts 0 and 1 go through router 0, attempt 2 through router 1, at any time.
 * Routers may crash at any step (CRASHES) and forget their attempts. A commit may be refused, be lost,
 * take effect unheard, or arrive late (FAULTS altogether, one late write at a time).
 *
 * Safety:   the call is dispatched at most once, apart from dispatches known not to have sent a byte;
 *           "ran" is said only of a call that ran; nobody is refused as a duplicate of himself; no key
 *           is left to an attempt that never ran, unless its router crashed.
 * Progress: every attempt and every settlement ends (ltl settled, weak fairness).
 * Not here: epochs and the sweep, batches (tests in pkg/once). */
#ifndef N
#define N       3                         /* attempts */
#endif
#define FAULTS  2
#define CRASHES 1
#define ROUNDS  2                         /* maxRounds */

#ifndef OFF                               /* the guard that is off: -DOFF=NO_GUARD and so on */
#define OFF 0
#endif
#define NO_GUARD        1                 /* the record is written without a condition */
#define DISPATCH_FIRST  2                 /* the record is written after dispatch */
#define NO_OWN_ROW      3                 /* an attempt doesn't recognise its row */
#define TAKE_PENDING    4                 /* a pending row of another attempt counts as free */
#define OUTAGE_RUN      5                 /* a refused record is dispatched all the same */
#define NO_RELEASE      6                 /* a refused attempt leaves its row */
#define NO_TOMBSTONE    7                 /* a release leaves a missing row missing */
#define NO_REWRITE      8                 /* a release leaves a free row of another attempt */
#define NO_SETTLE_GUARD 9                 /* a settlement is written without a condition */
#define NO_RETRY        10                /* a settlement is tried once */

#define ANY       99                      /* a write without a condition */
#define ROUTER(a) (a / 2)
#define isFree /* Book.isFree */ (rowState == RELEASED || \
	(rowState == PENDING && undispatched[rowAtt] && ROUTER(rowAtt) == ROUTER(a)))

mtype = { FREE, PENDING, RAN, RELEASED };         /* FREE: no row */
mtype = { OK, CONFLICT, REFUSED, UNKNOWN };

mtype rowState = FREE, lateState; byte rowAtt = 0, rowVer = 0, lateGuard, lateAtt;
byte  faults = FAULTS, crashes = CRASHES, ran = 0, ended = 0;
bool  late = false, probed = false, undispatched[4], dispatched[4], down[2];

inline apply(guard, st, a, res) {         /* platform.Table.Commit, as the table sees it */
	if
	:: guard == ANY || guard == rowVer -> rowVer++; rowState = st; rowAtt = a; res = OK
	:: else -> res = CONFLICT
	fi
}

inline commit(guard, st, a, res) {        /* store.commit */
	if
	:: apply(guard, st, a, res)
	:: faults > 0 -> faults--;
		if
		:: res = REFUSED
		:: res = UNKNOWN
		:: apply(guard, st, a, res); res = UNKNOWN
		:: !late -> late = true; lateGuard = guard; lateState = st; lateAtt = a; res = UNKNOWN
		fi
	fi
}

inline mayCrash(a) {                      /* a killed router forgets all of its attempts */
	if
	:: down[ROUTER(a)] -> goto over
	:: !down[ROUTER(a)]
	:: crashes > 0 && !down[ROUTER(a)] -> crashes--; down[ROUTER(a)] = true;
		undispatched[2 * ROUTER(a)] = false; undispatched[2 * ROUTER(a) + 1] = false; goto over
	fi
}

inline dispatch(a) {                      /* pkg/dispatch: the first byte may leave */
	if
	:: notSent = true                 /* known not to have sent a byte */
	:: dispatched[a] = true; ran++; assert(ran <= 1)
	fi
}

inline settle(a, st) {                    /* writeSettlements */
	do
	:: atomic { mayCrash(a); ver = rowVer; write = false;     /* plan, needsWrite */
		if
		:: rowState == PENDING && rowAtt == a -> write = true
		:: rowState == FREE && st == RELEASED && OFF != NO_TOMBSTONE -> write = true
		:: rowState != FREE && rowAtt != a && st == RELEASED && isFree && OFF != NO_REWRITE -> write = true
		:: else
		fi };
		if
		:: atomic { !write -> ver = 0; break }
		:: atomic { write -> if :: OFF == NO_SETTLE_GUARD -> ver = ANY :: else fi;
			commit(ver, st, a, res); write = false; ver = 0;
			if :: res == OK || OFF == NO_RETRY -> break :: else -> res = OK fi }
		fi
	od
}

proctype Attempt(byte a) {                /* Book.Begin and its ticket */
	byte ver = 0, round = 0; mtype res = OK; bool accepted = false, uncertain = false, write = false, notSent = false;
	if :: OFF == DISPATCH_FIRST -> dispatch(a) :: else fi;
	do                                /* record */
	:: atomic { mayCrash(a); round++;
		if :: OFF == NO_GUARD -> ver = ANY :: else fi;
		commit(ver, PENDING, a, res);     /* commitPending */
		if
		:: res == OK || (res == REFUSED && OFF == OUTAGE_RUN) -> accepted = true; break
		:: res == REFUSED && OFF != OUTAGE_RUN -> break
		:: res == UNKNOWN -> uncertain = true
		:: res == CONFLICT
		fi; ver = 0; res = OK }
		atomic {                          /* readOne */
		if
		:: rowState == FREE
		:: rowState == PENDING && rowAtt == a && OFF != NO_OWN_ROW -> accepted = true; break
		:: rowState == PENDING && rowAtt != a && OFF == TAKE_PENDING -> ver = rowVer
		:: isFree -> ver = rowVer
		:: else -> assert(rowAtt != a && (rowState != RAN || ran == 1)); break   /* duplicateOf */
		fi;
		if :: round == ROUNDS -> break :: else fi }
	od;
	atomic { mayCrash(a); ver = 0; round = 0; res = OK;
		if :: accepted && OFF != DISPATCH_FIRST -> dispatch(a) :: else fi };
	atomic { mayCrash(a);             /* ticket.NotRun; refuse */
		if
		:: !accepted && uncertain && OFF != NO_RELEASE -> undispatched[a] = true; notSent = true
		:: accepted && notSent -> undispatched[a] = true
		:: else
		fi };
	if
	:: notSent -> settle(a, RELEASED)
	:: !notSent && accepted -> settle(a, RAN)
	:: else
	fi;
over:	atomic { ended++; ver = 0; round = 0; res = OK; write = false; accepted = false; uncertain = false; notSent = false }
}

active proctype Net() {                   /* a late write lands, or never does */
	mtype res = OK;
end:	do
	:: atomic { late -> late = false; if :: apply(lateGuard, lateState, lateAtt, res) :: skip fi;
		lateGuard = 0; lateAtt = 0; lateState = FREE; res = OK }
	od
}

active proctype Probe() {                 /* the caller's next try, when all is over */
	atomic { ended == N && !late ->
		assert(rowState != PENDING || dispatched[rowAtt] || down[ROUTER(rowAtt)]); probed = true }
}

init { byte i; atomic { for (i : 0 .. N - 1) { run Attempt(i) } } }

ltl settled { <> probed }
