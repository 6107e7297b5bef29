package keeper

import "time"

// settle begins a time of learning: a new keeper knows nothing of the work its forerunner
// granted. Granting at once would put a second load on full upstreams, and would serve
// organisations without regard to what they had.
func (k *Keeper) settle(now time.Time) {
	k.settling = true
	k.settleEnds = now.Add(k.o.Settle)
	for _, r := range k.routers {
		r.full = false
	}
}

// settled ends the learning when all expected routers reported, or after its bound: a
// router that can't be heard must not stop the cell.
func (k *Keeper) settled(now time.Time) {
	if !k.settling {
		return
	}
	if now.Before(k.settleEnds) {
		for id := range k.expected {
			if r := k.routers[id]; r == nil || !r.full {
				return
			}
		}
	}
	k.settling = false
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
