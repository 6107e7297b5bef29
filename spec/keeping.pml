/* Claim, grant, report and take-over of keeping: pkg/claimant, pkg/keeper, messages of pkg/wire.
 *
 * Routers 0 and 1 have one request each; the cell has one slot. Keeper 0 keeps the cell; keeper 1 takes
 * over at any time, and each router learns of it at another moment, so both keep for a while. Keeper 0
 * may be paused (it isn't scheduled) or killed; router 1 may be killed too, also together. Messages to
 * and from a keeper are sets of bits: they may be overtaken and, FAULTS times, be lost, doubled, or
 * come late, after newer ones.
 *
 * Safety:   no request is dispatched twice; (PROMPT: one keeper, reports at once, nothing late) never
 *           more runs than the slot holds.
 * Progress: no claim of a living router is forgotten (served), no slot is leaked for ever (freed).
 * Bound:    with two keepers, or with late reports, more may run than the slot holds, until the next
 *           report; that is allowed. Not here: costs, order of grants, several slots. */
#ifndef FAULTS
#define FAULTS 1
#endif
#ifndef PROMPT
#define PROMPT 0
#endif
#ifndef KILL                              /* router 1 may be killed */
#define KILL 1
#endif
#ifndef TWO                               /* keepers at once */
#define TWO 1
#endif
#ifndef REQ                               /* routers with a request */
#define REQ 2
#endif
#ifndef OFF                               /* the guard that is off */
#define OFF 0
#endif
#define NO_STATE_CHECK 1                  /* a router dispatches any grant that names its request */
#define NO_LAPSE_START 3                  /* Slot.Start doesn't check the grant's time */
#define NO_OMIT_FREES  4                  /* a slot that reports omit isn't freed */
#define NO_RESEND      5                  /* CellState.Resend isn't sent */
#define NO_DEAD_FREES  6                  /* slots of dead routers aren't freed */
#define NO_LAPSE_FREES 8                  /* a slot is freed before its grant has lapsed */

#define NONE 9
#define IX(t, r, k) (t * 4 + r * 2 + k)
#define CLAIM 0
#define DONE  1
#define WAITS 2                           /* Report: waiting */
#define RUNS  3                           /* Report: running */
#define OMITS 4                           /* Report: neither */
#define GRANT 5
#define AGAIN 6                           /* CellState.Resend */

mtype = { WAIT, RUN, OVER };
mtype st[2] = WAIT;
bool  m[28], known[4], lapsed[4], dead[2], kdead, leads[2] /* router r follows keeper 1 */, sent[4];
byte  slot[2] = NONE, by[2] = NONE, runs[2], faults = FAULTS, early = 1, copy = NONE, running = 0;

inline report(r, k) {                     /* claimant: one Full report; the newest replaces older ones */
	m[IX(WAITS, r, k)] = (st[r] == WAIT);
	m[IX(RUNS, r, k)] = (st[r] == RUN && by[r] == k);
	m[IX(OMITS, r, k)] = !(m[IX(WAITS, r, k)] || m[IX(RUNS, r, k)])
}

proctype Router(byte r) {                 /* claimant */
	byte k;
end:	do
	:: atomic { !dead[r] -> k = 0;
		if :: st[r] == WAIT && !sent[IX(0, r, leads[r])] ->
			sent[IX(0, r, leads[r])] = true; m[IX(CLAIM, r, leads[r])] = true :: else fi;
		do
		:: k < 2 ->
			if :: m[IX(AGAIN, r, k)] -> m[IX(AGAIN, r, k)] = false;
				if :: st[r] == WAIT && k == leads[r] -> m[IX(CLAIM, r, k)] = true :: else fi
			:: else fi;
			if
			:: m[IX(GRANT, r, k)] -> m[IX(GRANT, r, k)] = false;
				if
				:: (st[r] == WAIT || OFF == NO_STATE_CHECK) && (!lapsed[IX(0, r, k)] || OFF == NO_LAPSE_START) ->
					st[r] = RUN; by[r] = k; runs[r]++; running++;
					assert(runs[r] == 1); assert(!PROMPT || running == 1)
				:: else -> m[IX(DONE, r, k)] = true   /* Unused */
				fi
			:: else
			fi;
			if :: !PROMPT -> report(r, k) :: else fi; k++
		:: else -> break
		od; k = 0 }
	od
}

proctype Upstream(byte r) {               /* the answer ends: Slot.Done */
end:	atomic { st[r] == RUN && !dead[r] -> st[r] = OVER; running--; m[IX(DONE, r, by[r])] = true }
}

inline freeSlot(r, k) { if :: slot[k] == r -> slot[k] = NONE :: else fi }

proctype Keeper(byte k) {                 /* keeper: one step over all that has come */
	byte r;
end:	do
	:: atomic { !(k == 0 && kdead) -> r = 0;
		do
		:: r < 2 ->
			if
			:: dead[r] ->      /* member: dead, or an older incarnation */
				known[IX(0, r, k)] = false;
				if :: OFF != NO_DEAD_FREES -> freeSlot(r, k) :: else fi;
				m[IX(CLAIM, r, k)] = false; m[IX(DONE, r, k)] = false; m[IX(WAITS, r, k)] = false;
				m[IX(RUNS, r, k)] = false; m[IX(OMITS, r, k)] = false
			:: else ->
				if :: PROMPT -> report(r, k) :: else fi;
				if :: m[IX(DONE, r, k)] -> m[IX(DONE, r, k)] = false; freeSlot(r, k); known[IX(0, r, k)] = false :: else fi;
				if :: m[IX(CLAIM, r, k)] -> m[IX(CLAIM, r, k)] = false; known[IX(0, r, k)] = (slot[k] != r) :: else fi;
				if
				:: (m[IX(WAITS, r, k)] || m[IX(OMITS, r, k)]) && slot[k] == r && OFF != NO_OMIT_FREES &&
				   (lapsed[IX(0, r, k)] || OFF == NO_LAPSE_FREES) -> freeSlot(r, k)
				:: else
				fi;
				if
				:: m[IX(WAITS, r, k)] && !known[IX(0, r, k)] && slot[k] != r && OFF != NO_RESEND -> m[IX(AGAIN, r, k)] = true
				:: m[IX(RUNS, r, k)] && slot[k] == NONE -> slot[k] = r; known[IX(0, r, k)] = false
				:: m[IX(OMITS, r, k)] -> known[IX(0, r, k)] = false
				:: else
				fi;
				m[IX(WAITS, r, k)] = false; m[IX(RUNS, r, k)] = false; m[IX(OMITS, r, k)] = false
			fi; r++
		:: else -> break
		od;
		if                                        /* grant */
		:: slot[k] == NONE && known[IX(0, 0, k)] -> r = 0
		:: slot[k] == NONE && known[IX(0, 1, k)] -> r = 1
		:: else -> r = NONE
		fi;
		if
		:: r != NONE -> slot[k] = r; known[IX(0, r, k)] = false; lapsed[IX(0, r, k)] = false; m[IX(GRANT, r, k)] = true
		:: else
		fi; r = 0 }
	od
}

proctype Clock(byte k) {                  /* a grant lapses: at the router first, which counts from its claim */
end:	do
	:: atomic { slot[k] != NONE && !lapsed[IX(0, slot[k], k)] && (early > 0 || !m[IX(GRANT, slot[k], k)]) ->
		if :: m[IX(GRANT, slot[k], k)] -> early-- :: else fi;   /* the router is paused */
		lapsed[IX(0, slot[k], k)] = true }
	od
}

active proctype Net() {                   /* lost, doubled, late */
	byte i;
end:	do
	:: atomic { faults > 0 && copy == NONE -> select(i : 0 .. 27);
		if :: m[i] -> faults--; if :: m[i] = false :: !PROMPT -> copy = i :: !PROMPT -> copy = i; m[i] = false fi :: else fi; i = 0 }
	:: atomic { copy != NONE -> m[copy] = true; copy = NONE }
	od
}

proctype Follow(byte r) {                 /* member: router r sees keeper 1 */
	if :: !PROMPT && TWO :: kdead fi;
	leads[r] = true
}
active proctype KillKeeper() { if :: atomic { !PROMPT -> kdead = true } :: skip fi }
active proctype KillRouter() {
	if :: atomic { !PROMPT && KILL -> dead[REQ - 1] = true; if :: st[REQ - 1] == RUN -> running-- :: else fi } :: skip fi
}

init { byte i; atomic {
	for (i : 0 .. 1) { run Keeper(i); run Clock(i);
		if :: i < REQ -> run Router(i); run Upstream(i); run Follow(i) :: else -> st[i] = OVER fi } } }

#define served(r) (st[r] == OVER || dead[r])
#define free(k) (slot[k] == NONE || (k == 0 && kdead))
ltl ends { <> [] (served(0) && served(1) && free(0) && free(1)) }
