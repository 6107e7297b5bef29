/* The register of software versions: pkg/affinity (Register, mayOpen).
 *
 * Version 1 serves; version 2 is registered with the store's list beside it. X confirms the register with what its own list has. Y
 * lists version 2 and begins streams there. Writes are performed late, lost, or performed without an answer; the store comes
 * back from a copy. All routers may be killed at any moment: one that starts then knows the register alone.
 *
 * Safety: the register never proves version 1 the sole one once Y may have begun a stream at version 2. */
#ifndef OFF                               /* the guard that is off */
#define OFF 0
#endif
#define NO_REGISTER 1                     /* version 2 opens unregistered, at once */
#define NO_LEASE 2                        /* unregistered it opens after WAIT */
#define NO_CONDITION 3                    /* writes are performed whatever the row is by then */
#define ANY_ERA 4                         /* a row of an earlier era counts */
#define NO_SETTLE 5                       /* the register is confirmed at once after a copy */
#define AGE 1                             /* maxListAge */
#define WAIT (2 * AGE)                    /* openAfter */
#define LEASE 3                           /* registerLease */
#define MOST (LEASE + WAIT)               /* ticks that are counted */

typedef row { bool has2; byte age; byte ver; byte era };
typedef write { bool flying; bool has2; byte age; byte after; byte era };

row now, old;                             /* the register, and a copy of it */
write x, y;                               /* writes on their way */
byte era = 1, sinceEra = MOST;
bool released, listX, listY, held, open;
byte ageX, sinceY;
byte ticks = 7, writes = 3, copies = 1, fresh = 1;

#define older(t) if :: t < MOST -> t++ :: else fi
#define settled (sinceEra >= 2 * WAIT || OFF == NO_SETTLE)
#define registered (held || OFF == NO_REGISTER || sinceY >= (OFF == NO_LEASE -> WAIT : MOST))
#define proves (!now.has2 && now.age < LEASE && (now.era == era || OFF == ANY_ERA))

inline perform(w) {
	w.flying = false;
	if
	:: w.after == now.ver || OFF == NO_CONDITION -> now.has2 = w.has2; now.age = w.age; now.era = w.era; fresh++; now.ver = fresh
	:: else
	fi
}

inline tick() {
	ticks--; older(ageX); older(now.age); older(old.age); older(x.age); older(y.age); older(sinceEra);
	if :: listY -> older(sinceY) :: else fi
}

active proctype fleet() {
	now.ver = 1; now.era = 1;
	do
	:: ticks > 0 -> atomic { tick() }
	:: !released -> released = true
	:: atomic { listX = released; ageX = 0 }
	:: released && !listY -> atomic { listY = true; sinceY = 0 }
	:: writes > 0 && !x.flying && ageX <= AGE && settled -> atomic {
		writes--; x.flying = true; x.has2 = (listX || now.has2); x.age = ageX; x.after = now.ver; x.era = era
	}
	:: writes > 0 && !y.flying && listY && !held -> atomic {
		writes--; y.flying = true; y.has2 = true; y.age = (now.era == era -> now.age : MOST); y.after = now.ver; y.era = era
	}
	:: x.flying -> atomic { perform(x) }
	:: x.flying -> x.flying = false
	:: y.flying -> atomic { held = (y.after == now.ver || OFF == NO_CONDITION) && y.era == era; perform(y) }
	:: y.flying -> atomic { perform(y) }
	:: copies == 1 -> atomic { copies = 2; old.has2 = now.has2; old.age = now.age; old.ver = now.ver; old.era = now.era }
	:: copies == 2 -> atomic {
		copies = 0; era++; sinceEra = 0; now.has2 = old.has2; now.age = old.age; now.ver = old.ver; now.era = old.era;
		x.flying = false; y.flying = false
	}
	:: listY && !open && registered -> open = true
	:: open && proves -> assert(false)
	:: ticks == 0 -> break
	od
}
