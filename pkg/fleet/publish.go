package fleet

import "time"

// othersToPublish returns the totals of the other routers for this router's own use, and whether
// to publish them now: after each report where few arrive, while a hub batches the reports of
// sumMaxAge.
func (f *Fleet) othersToPublish(now time.Time) (totals Totals, publish bool) {
	if f.role.hub && now.Sub(f.publishedAt) < sumMaxAge {
		f.publishDue = true
		return Totals{}, false
	}
	f.publishDue, f.publishedAt = false, now
	return f.othersTotals(now), true
}

// publish passes totals on to Local that are still due.
func (f *Fleet) publish(now time.Time) {
	f.mu.Lock()
	var totals Totals
	publish := f.publishDue
	if publish {
		totals, publish = f.othersToPublish(now)
	}
	f.mu.Unlock()
	if publish {
		f.local.SetOthers(totals)
	}
}
