package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// merge takes the claims that came with a message of the router from.
func (r *Roster) merge(now time.Time, from wire.RouterID, claims []wire.Member) {
	for _, c := range claims {
		c.State = min(c.State, wire.MemberDead)
		switch e := r.entries[c.ID]; {
		case c.ID == "":
		case c.ID == r.self.ID:
			r.mergeSelf(c)
		case e == nil:
			r.add(now, c)
		case c.Incarnation > e.Incarnation:
			r.renew(now, e, c)
		case c.Incarnation == e.Incarnation:
			r.worsen(now, e, c)
		case c.ID == from:
			// Restarted with a clock that went back: it must learn of its last life.
			e.outdated = true
		}
		// Any other lower incarnation is old news: the member refuted it, or restarted.
	}
}

// mergeSelf answers claims about this router.
//
// Guard: a router that was paused or cut off is suspected or dead in others' lists, and
// one that restarted may meet the record of its last life there. Only the router itself
// may raise its incarnation, so it does, above whatever was claimed, and the new record
// wins everywhere.
func (r *Roster) mergeSelf(c wire.Member) {
	stale := c.Incarnation < r.self.Incarnation
	same := c.Incarnation == r.self.Incarnation && c.State <= r.self.State
	if stale || same {
		return
	}
	r.self.Incarnation = above(r.self.Incarnation, c.Incarnation)
	r.selfChanged()
}

// add takes a member that was not known.
func (r *Roster) add(now time.Time, c wire.Member) {
	if len(r.entries) >= r.opts.MaxMembers-1 {
		return
	}
	e := &entry{Member: c, left: c.State == wire.MemberLeaving}
	if c.State == wire.MemberSuspect {
		e.suspected = now
	}
	r.entries[c.ID] = e
	r.entryChanged(e)
}

// renew takes a higher incarnation: the member restarted or refuted a suspicion.
func (r *Roster) renew(now time.Time, e *entry, c wire.Member) {
	wasDead := e.State == wire.MemberDead
	if wasDead || Life(c.Incarnation) != Life(e.Incarnation) {
		// A new process, or one from the far side of a partition: the next message is a
		// first contact.
		e.told, e.acked = 0, 0
		e.sync = syncState{}
		e.heard, e.vouched = time.Time{}, time.Time{}
	}
	e.Member = c
	e.accused = wire.Member{}
	e.left = c.State == wire.MemberLeaving
	e.watched = time.Time{} // watched anew: silence before doesn't count
	if c.State == wire.MemberDead && !wasDead {
		e.State = wire.MemberSuspect
	}
	e.suspected = now
	r.entryChanged(e)
}

// worsen takes a claim about the same incarnation when it is worse than what is known.
//
// Guard: when a partition heals, the halves hold each other's members for dead. Taken
// over at once, such claims would flap every member and move every cell although all
// are alive. So death is never taken from others, only suspicion, and a member heard
// directly a moment ago isn't suspected: it is told of the claim and refutes it. When
// it stays silent the claim counts after all (see detect).
func (r *Roster) worsen(now time.Time, e *entry, c wire.Member) {
	e.Version = max(e.Version, c.Version)
	e.left = e.left || c.State == wire.MemberLeaving
	claimed := min(c.State, wire.MemberSuspect)
	if claimed <= e.State {
		return
	}
	if claimed == wire.MemberLeaving {
		e.State = claimed
		r.entryChanged(e)
		return
	}
	if r.heardLately(now, e) {
		e.accused = c
		return
	}
	r.suspect(now, e)
}

func (r *Roster) heardLately(now time.Time, e *entry) bool {
	return !e.heard.IsZero() && now.Sub(e.heard) <= r.opts.SuspectAfter
}

func (r *Roster) suspect(now time.Time, e *entry) {
	e.State = wire.MemberSuspect
	e.suspected = now
	r.entryChanged(e)
}
