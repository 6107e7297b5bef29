/* Configuration: pkg/config, messages Ping, Pong and ConfigData of pkg/wire.
 *
 * Operators 0 and 1 race, each with one change, at a table whose answers may be lost or whose writes
 * may come late (FAULTS). Routers 0 and 1 read the table, 1 also asks 0; answers travel for any time; each may
 * be cut off (it is not scheduled); router 1 restarts once with no state. Time goes in ticks.
 *
 * Safety:   one winner for each version, and nobody who was told "not accepted" is one; a router's
 *           version never falls within one life; a router that answers W ticks or more after a newer
 *           version was accepted has that version, in this life or the next (never reverts).
 * Progress: all routers come to hold the newest version (ltl inForce, weak fairness).
 * Not here: confirmation during an outage of the table, watches, validation. */
#ifndef TICKS                             /* progress needs no time */
#define TICKS 1
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#define W      1                          /* ConfirmWithin, in ticks; a confirmation lapses at W */

#ifndef OFF                               /* the guard that is off */
#define OFF 0
#endif
#define NO_CONDITION   1                  /* the version row is written without a condition */
#define UNHEARD_LOST   2                  /* a write without an answer is reported as not accepted */
#define UNHEARD_WON    3                  /* ... or as accepted */
#define ADOPT_ANY      4                  /* a router takes over an older version too */
#define FROM_ANSWER    5                  /* a confirmation is counted from its answer */
#define NEVER_STOP     7                  /* a router goes on without confirmation */
#define START_TRUSTING 8                  /* a restarted router trusts the first version it hears of */
#define NO_READ        9                  /* routers ask only each other */

bool late = false; byte lateBase, lateOp;
byte faults = FAULTS, newest = 0, op[3] = 9, told[2] /* 1 accepted, 2 not */, accepted[3] /* ticks since */;
byte have[2], conf[2] = W, sent[2], asked /* ticks since */;

#define answers(r) (conf[r] < W || OFF == NEVER_STOP)    /* the check before each request */

inline apply(base, o, ok) {               /* the version row and the change, in one transaction */
	if
	:: base == newest -> newest++; op[newest] = o; ok = true
	:: base != newest && OFF == NO_CONDITION && base + 1 <= newest -> op[base + 1] = o; ok = true
	:: else -> ok = false
	fi
}

proctype Operator(byte o) {               /* config store: Apply */
	byte base; bool ok, heard;
	do
	:: told[o] != 0 -> break
	:: told[o] == 0 ->
		base = newest;                    /* read */
again:		atomic { heard = true;
		if
		:: apply(base, o, ok)
		:: faults > 0 -> faults--; heard = false;
			if
			:: ok = false
			:: apply(base, o, ok); ok = false
			:: late = true; lateBase = base; lateOp = o; ok = false
			fi
		fi };
		atomic { if                       /* read back by operation ID */
		:: heard -> told[o] = (ok -> 1 : 2)
		:: !heard && OFF == UNHEARD_LOST -> told[o] = 2
		:: !heard && OFF == UNHEARD_WON -> told[o] = 1
		:: else ->
			if
			:: newest > base && op[base + 1] == o -> told[o] = 1
			:: newest > base && op[base + 1] != o -> told[o] = 2    /* the base is gone: it can't land */
			:: newest == base -> goto again
			fi
		fi;
		if :: told[o] == 2 && heard && newest > base && op[base + 1] == o -> told[o] = 1 :: else fi }   /* its own late write */
	od
}

inline adopt(r, ver, age) {                 /* upwards only; a confirmation is of one version */
	if
	:: ver > have[r] || OFF == ADOPT_ANY -> assert(ver >= have[r]); have[r] = ver; conf[r] = age
	:: ver == have[r] && age < conf[r] -> conf[r] = age
	:: else
	fi
}

proctype Read(byte r) {                   /* a router reads the table; the answer travels */
	byte v;
end:	do
	:: atomic { OFF != NO_READ -> sent[r] = 0; v = newest };
		atomic { adopt(r, v, (OFF == FROM_ANSWER -> 0 : sent[r])); v = 0; sent[r] = 0 }
	od
}

active proctype Ask() {                   /* router 1 asks router 0: Ping, Pong, ConfigData */
	byte v, a;
end:	do
	:: atomic { asked = 0; v = have[0]; a = conf[0] };
		atomic { if
		:: OFF == START_TRUSTING && have[1] == 0 -> a = 0
		:: else -> a = a + (OFF == FROM_ANSWER -> 0 : asked); if :: a > W -> a = W :: else fi
		fi;
		adopt(1, v, a); v = 0; a = 0; asked = 0 }
	od
}

active proctype Restart() { atomic { have[1] = 0; conf[1] = W } }

active proctype Late() { bool ok; end: do :: atomic { late -> late = false; apply(lateBase, lateOp, ok); lateBase = 0; lateOp = 0; ok = false } od }

active proctype Tick() {
	byte i;
end:	do
	:: atomic { TICKS -> for (i : 0 .. 1) {
		if :: conf[i] < W -> conf[i]++ :: else fi;
		if :: sent[i] < W -> sent[i]++ :: else fi;
		if :: i == 0 && asked < W -> asked++ :: else fi;
		if :: newest > i && accepted[i + 1] < W -> accepted[i + 1]++ :: else fi } i = 0 }
	od
}

/* a router that answers with version x while a newer one was accepted W ticks ago or more */
#define reverts(r) (answers(r) && ((newest >= 1 && have[r] < 1 && accepted[1] >= W) || (newest >= 2 && have[r] < 2 && accepted[2] >= W)))
#define done       (told[0] != 0 && told[1] != 0 && !late)

active proctype Check() {
end:	do
	:: atomic { reverts(0) || reverts(1) -> assert(false) }
	:: atomic { done -> assert((told[0] == 1) == (op[1] == 0 || op[2] == 0));
		assert((told[1] == 1) == (op[1] == 1 || op[2] == 1)); break }
	od;
end2:	do :: atomic { reverts(0) || reverts(1) -> assert(false) } od
}

init { byte i; atomic { for (i : 0 .. 1) { run Operator(i); run Read(i) } } }

ltl inForce { <> [] (have[0] == newest && have[1] == newest) }
