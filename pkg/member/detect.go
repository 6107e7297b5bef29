package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// forgive grants everyone a fresh period when this router itself was held up.
//
// Guard: a paused process (a stopped virtual machine, a starved core) wakes up, finds
// that nobody was heard for a long time, and would take all others for dead and all
// their cells for itself. The late tick shows whose pause it was: answers lie unread in
// the socket, so silence up to now proves nothing.
func (r *Roster) forgive(now time.Time) {
	late := now.Sub(r.ticked) - r.opts.Heartbeat
	if r.ticked.IsZero() || late <= 0 {
		return
	}
	fresh := now.Sub(r.ticked) > r.opts.SuspectAfter
	for _, e := range r.entries {
		e.excuse(now, late, fresh)
	}
}

// excuse leaves this router's own lateness out of e's silence; after a long one the
// member gets a fresh period.
func (e *entry) excuse(now time.Time, late time.Duration, fresh bool) {
	if !e.watched.IsZero() {
		e.watched = e.latest().Add(late)
	}
	e.suspected = e.suspected.Add(late)
	if fresh {
		e.suspected = now
		e.excused = now
		if !e.watched.IsZero() {
			e.watched = now
		}
	}
}

// watch notes which members are pinged from now on.
func (r *Roster) watch(now time.Time) []wire.RouterID {
	targets := r.targets()
	chosen := make(map[wire.RouterID]bool, len(targets))
	for _, id := range targets {
		chosen[id] = true
	}
	for id, e := range r.entries {
		switch {
		case !chosen[id]:
			e.watched = time.Time{}
		case e.watched.IsZero():
			e.watched = now
		}
	}
	return targets
}

// detect moves silent members to suspect and suspects to dead.
func (r *Roster) detect(now time.Time) {
	for _, e := range r.entries {
		switch {
		case e.State == wire.MemberSuspect:
			if now.Sub(e.suspected) >= r.graceOfSuspects() {
				e.State = wire.MemberDead
				r.entryChanged(e)
			}
		case !e.up():
		case e.accused.ID != "" && !r.heardLately(now, e) && now.Sub(e.excused) > r.opts.SuspectAfter:
			e.accused = wire.Member{}
			r.suspect(now, e)
		case !e.watched.IsZero() && now.Sub(e.latest()) > r.opts.suspectAfter():
			r.suspect(now, e)
		}
	}
}

// graceOfSuspects is the time that a suspect has for its refutation to arrive here.
//
// Guard: in a large fleet a suspicion reaches its member, and the refutation everyone,
// over several hops of gossip. With the small fleet's time half of the others would
// already have buried a living member. The hops grow with the logarithm of the fleet,
// and so does the time: there and back, one heartbeat a hop.
func (r *Roster) graceOfSuspects() time.Duration {
	grace := r.opts.DeadAfter - r.opts.SuspectAfter
	rs := r.currentRings()
	if rs.orders == nil {
		return grace
	}
	hops := 0
	for reached := 1; reached <= len(rs.all); reached *= r.opts.Rings + 1 {
		hops++
	}
	return grace + time.Duration(2*hops)*r.opts.Heartbeat
}

// overdue lists the targets that were silent for too long: others are asked about them,
// so that one broken path between two routers kills nobody.
func (r *Roster) overdue(now time.Time, targets []wire.RouterID) []wire.RouterID {
	var list []wire.RouterID
	for _, id := range targets {
		e := r.entries[id]
		if e.up() && now.Sub(e.latest()) > r.opts.overdueAfter() {
			list = append(list, id)
		}
	}
	return list
}
