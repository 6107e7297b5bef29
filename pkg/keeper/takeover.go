package keeper

import "time"

// startTakeover starts to collect the routers' reports. A new keeper doesn't know the work
// that its predecessor granted: granting at once would overload full upstreams, and ignore
// the service that organisations have already received.
func (k *Keeper) startTakeover(now time.Time) {
	k.takingOver = true
	k.takeoverDeadline = now.Add(k.options.TakeoverTimeout)
	k.takeoverStart, k.lastFirstReport = now, time.Time{}
	for _, r := range k.routers {
		r.reported = false
	}
}

// checkTakeover ends the takeover when all expected routers have reported, when those that
// take part in the cell have, or after its timeout: an unreachable router must not stop the
// cell.
func (k *Keeper) checkTakeover(now time.Time) {
	if k.takingOver && (k.allReported() || k.participantsReported(now) || !now.Before(k.takeoverDeadline)) {
		k.takingOver = false
	}
}

func (k *Keeper) allReported() bool {
	for id := range k.expectedRouters {
		if r := k.routers[id]; r == nil || !r.reported {
			return false
		}
	}
	return true
}

// participantsReported reports whether every router heard since the takeover began has sent
// a Full report, and none sent its first one within the last Options.MembershipSkew.
//
// The failure it guards against: routers with nothing in the cell send nothing, so after
// each change of its keeper a cell would be idle for all of Options.TakeoverTimeout while requests
// wait. Routers learn of the change within the skew of membership updates, and those with
// work in the cell report at once. If a router learns of it later, its upstreams briefly
// get too much work: a short queue inside the engines, and no broken guarantee.
func (k *Keeper) participantsReported(now time.Time) bool {
	if k.lastFirstReport.IsZero() || now.Sub(k.lastFirstReport) < k.options.MembershipSkew {
		return false
	}
	for _, r := range k.routers {
		if !r.reported && !r.lastHeard.Before(k.takeoverStart) {
			return false
		}
	}
	return true
}

// detectPause handles a pause of the keeper's process. It shows as a long gap between two
// calls of Next, which is called at least once per report interval. Meanwhile reports wait
// unread in the process's buffers, so all slots look silent; freeing them would double the
// load on every upstream. Their times are moved by the pause, and the keeper takes over
// anew, since another keeper may have granted meanwhile.
func (k *Keeper) detectPause(now time.Time) {
	pause := now.Sub(k.lastNext)
	k.lastNext = now
	if pause <= k.options.TTL {
		return
	}
	for id, r := range k.routers {
		r.lastHeard = r.lastHeard.Add(pause)
		if r.deadSince.IsZero() {
			k.expectedRouters[id] = true
		}
	}
	for _, s := range k.slots {
		s.lastConfirmed = s.lastConfirmed.Add(pause)
		if !s.freeAt.IsZero() {
			s.freeAt = s.freeAt.Add(pause)
		}
	}
	k.startTakeover(now)
}
