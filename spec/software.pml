/* Software versions: pkg/affinity (openKnown, certain).
 *
 * One service, of which version 1 serves; version 2 is registered beside it. A opens version 2 for new streams. B may take
 * version 1 for the sole one and resume there what A began at version 2. B reads the list from the store, or from a third router
 * whose list is old; it restarts, is cut off from the store and from A, and reports are late.
 *
 * Safety: B never claims version 1 as the sole one once A may have begun a stream at version 2. */
#ifndef OFF                               /* the guard that is off */
#define OFF 0
#endif
#define NO_WAIT 1                         /* version 2 opens at once */
#define ANY_AGE 2                         /* a list counts however old it is */
#define OLD_LIST 3                        /* a list older than its reader counts */
#define BY_ARRIVAL 4                      /* a report counts from its arrival */
#define AGE 2                             /* maxListAge */
#define WAIT (2 * AGE)                    /* openAfter */
#define LATE 4                            /* the longest way of a report */
#define MOST 8                            /* ticks that are counted */

bool released, listA, open, listB, listC;
byte ageB, ageC, startB = MOST, sinceA;
bool ackB; byte ackAge = 2;               /* what A heard of B's list */
bool newerA; byte heardA = AGE + 1;          /* what B heard of A's list */
bool flying, flyingList; byte flyingAge;  /* a report of A on its way to B */
byte releases = 1, restarts = 1, ticks = 7;

#define older(t, most) if :: t < most -> t++ :: else fi
#define recent (ageB <= AGE || OFF == ANY_AGE)
#define since (ageB < startB || OFF == OLD_LIST)
#define heard (heardA <= AGE && heardA < startB && !newerA)
#define claims (!listB && since && (recent || heard))

inline tick() {
	ticks--; older(ageB, MOST); older(ageC, MOST); older(startB, MOST); older(ackAge, 2); older(heardA, AGE + 1);
	if :: listA && !open -> older(sinceA, WAIT) :: else fi;
	if :: flying -> older(flyingAge, LATE) :: else fi
}

active proctype fleet() {
	do
	:: ticks > 0 && (!flying || flyingAge < LATE) -> atomic { tick() }
	:: releases > 0 -> atomic { releases--; released = true }
	:: !listA && released -> atomic { listA = true; sinceA = 0 }
	:: atomic { listB = released; ageB = 0 }                        /* B reads the store */
	:: atomic { listC = released; ageC = 0 }
	:: ageC < ageB && (listC || !listB) -> atomic { listB = listC; ageB = ageC }   /* a peer's list */
	:: atomic { ackB = listB; ackAge = 0 }                          /* B's report reaches A */
	:: !flying -> atomic { flying = true; flyingList = listA; flyingAge = 0 }
	:: flying -> atomic {
		flying = false; newerA = flyingList && !listB;
		if :: OFF == BY_ARRIVAL -> heardA = 0 :: else -> heardA = (flyingAge > AGE -> AGE + 1 : flyingAge) fi
	}
	:: restarts > 0 -> atomic {
		restarts--; startB = 0; listB = false; ageB = MOST; heardA = AGE + 1; newerA = false
	}
	:: listA && !open && (ackB && ackAge <= 1 || sinceA >= WAIT || OFF == NO_WAIT) -> atomic { open = true }
	:: open && claims -> assert(false)
	:: ticks == 0 -> break
	od
}
