package fleet

import "time"

// isNew reports whether this router may not know of a router that the others remember: one that fell silent before
// this one started is on no list of those that are alive.
func (f *Fleet) isNew(now time.Time) bool { return now.Sub(f.startedAt) < forgetAfter }

// othersMiss reports whether another router remembers one that is silent.
func (f *Fleet) othersMiss(now time.Time) bool {
	for _, p := range f.peers {
		if p.report != nil && p.report.MissesRouters && p.reportedRecently(now) {
			return true
		}
	}
	return false
}

// mayMiss reports whether a router may be silent that this one doesn't know of.
func (f *Fleet) mayMiss(now time.Time) bool { return f.isNew(now) && f.othersMiss(now) }
