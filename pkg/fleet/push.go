package fleet

import (
	"math"
	"time"
)

const (
	// pushDelay is how long a peer of a small fleet must have lacked something before it is
	// pushed: usually the peer gets it from the store.
	pushDelay = 200 * time.Millisecond
	// repushInterval is the time until the same update is pushed again: the first may be in
	// flight.
	repushInterval = time.Second
	// StaleListAge is the age from which on a peer's list of upstreams is replaced by a newer
	// one.
	StaleListAge = 250 * time.Millisecond
	// maxPushBytes bounds an update within a report. A peer fetches larger ones itself.
	maxPushBytes = 128 << 10
)

// versions are the configuration version and list revision that a peer lacks; 0 for nothing.
type versions struct{ config, list int64 }

// pushUpdate adds to r, a report for p, what p lacks according to its own report; that may be
// nil.
//
// Fetched in a request of its own, an update takes two more round trips after the report that
// announces it. On a saturated link that is longer than a configuration may take to arrive.
func (f *Fleet) pushUpdate(r *Report, p *peer, theirs *Report, now time.Time) {
	if theirs == nil {
		return
	}
	lacks := versions{}
	if theirs.Config < r.Config {
		lacks.config = r.Config
	}
	if theirs.Instances < r.ListSince && time.Duration(theirs.ListAgeMs)*time.Millisecond > StaleListAge {
		lacks.list = r.ListSince
	}
	if !f.shouldPush(p, lacks, now) {
		return
	}
	req := CatalogRequest{From: theirs.From.Name, Config: theirs.Config, Digest: theirs.ConfigDigest, Instances: math.MaxInt64, Packed: true}
	if lacks.list > 0 {
		req.Instances = theirs.Instances
	}
	update := f.local.Catalog(req)
	if len(update.Config)+len(update.Instances) <= maxPushBytes {
		r.Update = &update
	}
}

// shouldPush reports whether to push now what p lacks.
func (f *Fleet) shouldPush(p *peer, lacks versions, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lacks != p.lacks {
		p.lacks, p.lacksSince, p.pushedAt = lacks, now, time.Time{}
	}
	if lacks == (versions{}) || !f.isPusher(now) || now.Sub(p.pushedAt) < repushInterval || f.role.direct && now.Sub(p.lacksSince) < pushDelay {
		return false
	}
	p.pushedAt = now
	return true
}

// isPusher reports whether this router pushes updates: hubs and the first routers by rank do.
//
// A router behind a saturated link receives few reports and asks all other routers. If each of
// them pushed the same update, they would saturate its link for some seconds more.
func (f *Fleet) isPusher(now time.Time) bool { return f.role.hub || f.snapshotAt(now).rank < minHubs }

// applyUpdate passes on the update in a report that was created at createdAt or later.
func (f *Fleet) applyUpdate(r *Report, createdAt time.Time) {
	if r.Update != nil {
		f.local.ApplyUpdate(r.From, r.Update, r.listAsOf(createdAt))
	}
}

// listAsOf returns when the list of a report that was created at createdAt was current; zero if that isn't
// known.
func (r *Report) listAsOf(createdAt time.Time) time.Time {
	if createdAt.IsZero() {
		return time.Time{}
	}
	return createdAt.Add(-time.Duration(r.ListAgeMs) * time.Millisecond)
}
