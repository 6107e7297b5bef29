package quarantine

import "time"

// explanation tells which crashes some contents or parts are the cause of.
type explanation struct {
	upstreams map[uint32]bool
	// dropped are the spans in which one of them has more crashes than are kept of it. They are wider by
	// sightingSpread, as the same crash may have other times elsewhere.
	dropped []timeSpan
}

type timeSpan struct{ from, to time.Time }

func newExplanation() *explanation { return &explanation{upstreams: make(map[uint32]bool)} }

// add adds the crashes of an entry of a list with this limit.
func (x *explanation) add(e *entry, limit int) {
	for _, c := range e.crashes {
		x.upstreams[c.upstream] = true
	}
	if e.isFull(limit) {
		x.dropped = append(x.dropped, timeSpan{from: e.crashes[limit-1].at.Add(-sightingSpread), to: e.crashes[limit].at.Add(sightingSpread)})
	}
}

// has reports whether the crash of an upstream at a time is explained.
func (x *explanation) has(upstream uint32, at time.Time) bool {
	if x.upstreams[upstream] {
		return true
	}
	for _, s := range x.dropped {
		if !at.Before(s.from) && !at.After(s.to) {
			return true
		}
	}
	return false
}
