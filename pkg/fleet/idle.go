package fleet

import "time"

// idleAfter is how long after its last work a router counts as idle.
const idleAfter = time.Second

// NoteRequest records that a request arrived. A router that was idle exchanges immediately, and
// one that had no request since its last exchange does so sooner than planned.
func (f *Fleet) NoteRequest(now time.Time) {
	at := int64(now.Sub(f.startedAt))
	wasIdle := at-f.lastWorkAt.Swap(at) >= int64(idleAfter)
	if f.newRequests.Add(1) == 1 || wasIdle {
		f.wakeUp()
	}
}

// wakeUp makes the exchanger check immediately which peers are due.
func (f *Fleet) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// isIdle reports whether this router has no work.
func (f *Fleet) isIdle(now time.Time) bool {
	return int64(now.Sub(f.startedAt))-f.lastWorkAt.Load() >= int64(idleAfter)
}

// recordWork notes whether r, a report of this router alone, shows work, and sets the interval
// until the next report of an idle member.
func (f *Fleet) recordWork(r *Report, now time.Time) {
	for _, l := range r.Loads {
		if l.Running > 0 {
			f.lastWorkAt.Store(int64(now.Sub(f.startedAt)))
			return
		}
	}
	if !f.role.direct && !f.role.hub && f.isIdle(now) {
		r.IntervalMs = memberIdleInterval.Milliseconds()
	}
}
