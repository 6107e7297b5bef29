package keeper

import "time"

// settle begins a time of learning: a new keeper knows nothing of the work its forerunner
// granted. Granting at once would put a second load on full upstreams, and would serve
// organisations without regard to what they had.
func (k *Keeper) settle(now time.Time) {
	k.settling = true
	k.settleEnds = now.Add(k.o.Settle)
	k.settleBegan, k.lastFull = now, time.Time{}
	for _, r := range k.routers {
		r.full = false
	}
}

// settled ends the learning when all expected routers reported, when those that take part
// in the cell did, or after its bound: a router that can't be heard must not stop the cell.
func (k *Keeper) settled(now time.Time) {
	if k.settling && (k.allReported() || k.takersReported(now) || !now.Before(k.settleEnds)) {
		k.settling = false
	}
}

func (k *Keeper) allReported() bool {
	for id := range k.expected {
		if r := k.routers[id]; r == nil || !r.full {
			return false
		}
	}
	return true
}

// takersReported says that every router heard since settling began sent a Full report, and
// that none was heard for the first time during Options.Skew.
//
// The failure it guards against: routers with nothing in the cell send nothing, so a cell
// idled for the whole of Options.Settle after each change of its keeper while requests
// waited. Routers learn of the change within the skew of the membership's news, and those
// with work in the cell report at once. One that learns later finds its upstreams filled a
// second time for a moment: a short queue inside the engines, and no promise broken.
func (k *Keeper) takersReported(now time.Time) bool {
	if k.lastFull.IsZero() || now.Sub(k.lastFull) < k.o.Skew {
		return false
	}
	for _, r := range k.routers {
		if !r.full && !r.heard.Before(k.settleBegan) {
			return false
		}
	}
	return true
}

// resume handles a pause of the keeper itself. It shows as a long gap between two calls
// of Next, which is called at least once a report interval. Reports wait unread in the
// process's buffers, so all slots look silent: freeing them would double the load on
// every upstream. Their times are moved by the pause, and the keeper settles anew, since
// another one may have granted meanwhile.
func (k *Keeper) resume(now time.Time) {
	pause := now.Sub(k.lastNext)
	k.lastNext = now
	if pause <= k.o.TTL {
		return
	}
	for id, r := range k.routers {
		r.heard = r.heard.Add(pause)
		if r.gone.IsZero() {
			k.expected[id] = true
		}
	}
	for _, s := range k.slots {
		s.news = s.news.Add(pause)
		if !s.expires.IsZero() {
			s.expires = s.expires.Add(pause)
		}
	}
	k.settle(now)
}
