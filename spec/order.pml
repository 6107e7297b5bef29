/* Lease and fencing number of orders: pkg/order, docs/design/orders.md.
 *
 * Routers 0 and 1 order one engine. Router 1 has the newer configuration (model 2); router 0 was cut
 * off, declares model 1 and may learn of 2 at any time. Time goes in ticks; a holder's clock may lose
 * a tick of a lease. FAULTS commits and orders are lost, unheard or late. PAUSES times some router
 * stands still, with the order that it has under way, for any time.
 *
 * ENGINE: CHECKS   refuses old numbers.
 *         IGNORES  follows any order; no pause between check and wire, an order takes LONGEST at most.
 *         PAUSED   follows any order, pauses anywhere: what remains possible.
 * Safety:   (CHECKS, IGNORES) an order is never followed after one with a higher number, and no two
 *           holders have the same number.
 * Progress: (all) the engine ends at the newest declaration (ltl settles, weak fairness).
 * Not here: renewal, the weight store, ranks (tests in pkg/order). */
#define CHECKS  0
#define IGNORES 1
#define PAUSED  2
#ifndef ENGINE
#define ENGINE CHECKS
#endif
#ifndef FAULTS
#define FAULTS  1
#endif
#define TTL     2
#define MARGIN  1
#define LONGEST 2
#define NOBODY  9
#define GONE    TTL                       /* no lease */
#ifndef PAUSES
#define PAUSES  1
#endif
#define MAXFENCE 5                        /* a bound for mutants: grants */

#ifndef OFF                               /* the guard that is off */
#define OFF 0
#endif
#define NO_CONDITION    1                 /* a grant is written without a condition */
#define SAME_NUMBER     2                 /* the number doesn't grow */
#define NO_LAPSE_WAIT   3                 /* a held row is taken over at once */
#define NO_LONGEST_WAIT 4                 /* the successor doesn't wait for the longest order */
#define NO_MARGIN       5                 /* holder and successor wait the lease's bare time */
#define FROM_ANSWER     6                 /* the lease is counted from the grant's answer */
#define NO_CHECK        7                 /* the lease isn't checked before the order */
#define UNHEARD_GRANTED 8                 /* a grant without an answer counts as granted */
#define REVOKE_ANYWAY   9                 /* the lease is given back without an answer to the order */
#define NO_DECLARED     10                /* the row doesn't hold the configuration's version */
#define NO_LOOK         11                /* an engine isn't looked at again after its order */
#define WITH_PAUSES     12                /* not a guard: pauses, and an engine that ignores */

#define margin   (OFF == NO_MARGIN -> 0 : MARGIN)
#define valid(i) (since[i] < TTL - margin || OFF == NO_CHECK)              /* Lease.Valid */
#define takeoverAfter (TTL + margin + ((ENGINE == CHECKS || OFF == NO_LONGEST_WAIT) -> 0 : LONGEST))

bool  held = false, late = false, lateHeld, leased[2], sending[2], flies[2], stray[2], answered[2], slow[2];
bool  moved[2];                           /* the row has changed since router i read it: its version is old */
byte  fence = 0, declared = 0, owner = NOBODY;                                  /* the lease row */
byte  lateFence, lateDeclared, lateOwner, faults = FAULTS, paused = NOBODY;
byte  model = 0, lastFence = 0, lastOwner = NOBODY;                             /* the engine */
byte  want[2], since[2] = GONE, seen[2], orderFence[2], orderModel[2], age[2];

inline apply(old, h, f, d, o, ok) {
	if
	:: !old || OFF == NO_CONDITION -> held = h; fence = f; declared = d; owner = o; ok = true;
		moved[0] = true; moved[1] = true; late = false   /* a late write's version is old now */
	:: else -> ok = false
	fi
}

inline commit(old, h, f, d, o, ok, heard) { /* Leases.commit */
	heard = true;
	if
	:: apply(old, h, f, d, o, ok)
	:: faults > 0 -> faults--; heard = false;
		if
		:: ok = false
		:: apply(old, h, f, d, o, ok); ok = false
		:: !old -> late = true; lateHeld = h; lateFence = f; lateDeclared = d; lateOwner = o; ok = false
		fi
	fi
}

proctype Router(byte i) {                 /* Reconciler */
	bool ok, heard; byte f, d;
end:	do
	:: atomic { model != want[i] && fence < MAXFENCE ->                 /* look, Leases.Grant: read */
		if :: moved[i] -> moved[i] = false; seen[i] = 0 :: else fi;
		if                                                          /* mayTake */
		:: (declared > want[i] && OFF != NO_DECLARED) ||            /* ErrStale, ErrHeld */
		   (held && seen[i] < takeoverAfter && OFF != NO_LAPSE_WAIT) -> goto next
		:: else
		fi;
		since[i] = 0; slow[i] = true; leased[i] = true; f = fence + (OFF == SAME_NUMBER -> 0 : 1); d = want[i] };
		atomic { commit(moved[i], true, f, d, i, ok, heard) };      /* Leases.write */
		atomic { if
		:: !heard && ((owner == i && fence == f && held) || OFF == UNHEARD_GRANTED) -> ok = true   /* isOwn */
		:: else
		fi;
		if :: !ok -> goto next :: else fi;
		if :: OFF == FROM_ANSWER -> since[i] = 0 :: else fi };
		atomic { leased[i] = false; if                              /* gatedBody: the check */
		:: valid(i) -> sending[i] = true
		:: else -> goto revoke
		fi };
		atomic { !flies[i] -> sending[i] = false; flies[i] = true; age[i] = 0; answered[i] = false;
			orderFence[i] = f; orderModel[i] = d };             /* the wire */
		if                                                          /* an answer, or none */
		:: atomic { answered[i] -> answered[i] = false }
		:: atomic { !answered[i] && (!flies[i] || (paused == i && age[i] >= LONGEST)) -> stray[i] = flies[i];
			if :: OFF != REVOKE_ANYWAY -> goto next :: else fi }
		fi;
revoke:		atomic { if
		:: owner == i && fence == f && held -> apply(false, false, f, declared, i, ok)   /* Revoke */
		:: else
		fi };
next:		atomic { leased[i] = false; if :: paused == i -> paused = NOBODY :: else fi;
		 since[i] = GONE; slow[i] = false; ok = false; heard = false; f = 0; d = 0;
		if :: OFF == NO_LOOK && model == want[i] -> goto over :: else fi }
	od;
over:	skip
}

proctype Wire(byte i) {                   /* an order reaches the engine, or is lost */
end:	do
	:: atomic { flies[i] -> flies[i] = false; stray[i] = false; age[i] = 0;
		if
		:: ENGINE == CHECKS && orderFence[i] < lastFence -> answered[i] = true   /* 412 */
		:: faults > 0 -> faults--                               /* lost */
		:: ENGINE != CHECKS || orderFence[i] >= lastFence ->
			assert(ENGINE == PAUSED || orderFence[i] > lastFence || (orderFence[i] == lastFence && lastOwner == i));
			lastFence = orderFence[i]; lastOwner = i; model = orderModel[i];
			if :: answered[i] = true :: faults > 0 -> faults-- fi
		fi; orderFence[i] = 0; orderModel[i] = 0 }
	od
}

/* without a pause a router comes to its check in time, and an order to the engine */
#define onWire(i)   (sending[i] || (flies[i] && age[i] >= LONGEST))
#define mustMove(i) ((paused != i && (leased[i] || (onWire(i) && !stray[i]))) || \
	(ENGINE == IGNORES && OFF != WITH_PAUSES && onWire(i)))

active proctype Tick() {
	byte i;
end:	do
	:: atomic { !mustMove(0) && !mustMove(1) -> for (i : 0 .. 1) {
		if :: since[i] < TTL -> since[i]++ :: slow[i] -> slow[i] = false :: since[i] >= TTL fi;
		if :: held && !moved[i] && seen[i] < takeoverAfter -> seen[i]++ :: else fi;
		if :: flies[i] && age[i] < LONGEST -> age[i]++ :: else fi } i = 0 }
	od
}

active proctype Late() {                  /* a late grant lands */
	bool ok;
end:	do
	:: atomic { late -> apply(false, lateHeld, lateFence, lateDeclared, lateOwner, ok);
		lateHeld = false; lateFence = 0; lateDeclared = 0; lateOwner = 0; ok = false }
	od
}

active proctype Pause() {
	byte n;
	do
	:: n == PAUSES -> break
	:: atomic { n < PAUSES && paused == NOBODY -> n++; if :: paused = 0 :: paused = 1 :: skip fi }
	od
}

active proctype Learn() { atomic { want[0] == 1 -> if :: want[0] = 2 :: skip fi } }

init { atomic { want[0] = 1; want[1] = 2; run Router(0); run Router(1); run Wire(0); run Wire(1) } }

ltl settles { <> [] (model == 2) }
