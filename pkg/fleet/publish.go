package fleet

import "time"

// published gives the work of the others for this router's own use, and whether it is told
// now: after each report where few come, and a hub once for all that came since.
func (f *Fleet) published(now time.Time) (work Work, publish bool) {
	if f.last.hub && now.Sub(f.publishedAt) < sumEvery {
		f.unpublished = true
		return Work{}, false
	}
	f.unpublished, f.publishedAt = false, now
	return f.others(now), true
}

// publish tells this router of work that was held back.
func (f *Fleet) publish(now time.Time) {
	f.mu.Lock()
	var total Work
	publish := f.unpublished
	if publish {
		total, publish = f.published(now)
	}
	f.mu.Unlock()
	if publish {
		f.local.Work(total)
	}
}
