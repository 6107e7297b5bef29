package affinity

import (
	"time"

	"github.com/apex/log"
)

// noteCurrent records that all versions that served at a time are known. A version may have come and gone
// since the time before that if it could open meanwhile.
func (h *history) noteCurrent(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !at.After(h.currentAt) {
		return
	}
	before := h.currentAt
	if before.IsZero() && h.uncovered {
		before = h.firstListAt
	}
	if gap := at.Sub(before); !before.IsZero() && gap >= openAfter {
		h.watchedSince, h.sinceFounding = at, false
		h.register.unread = true
		h.log.WithFields(log.Fields{"event": "software_unwatched", "for_ms": gap.Milliseconds()}).Warn("software versions may have served unseen")
	}
	h.currentAt = at
}

// noteUncovered records that the only list so far was current before the router started.
func (h *history) noteUncovered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uncovered = true
}

// markFounding records that the fleet first started with this router.
func (h *history) markFounding() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sinceFounding = true
}

// mergeWatch takes over since when another router has known all versions, unless that one has gone
// without a current list for so long that a version may have come and gone before this router's watch
// began.
func (h *history) mergeWatch(s Statement, createdAt, now time.Time) {
	currentAt := createdAt.Add(-time.Duration(max(0, s.CurrentAgeMs)) * time.Millisecond)
	if h.watchedSince.IsZero() || h.watchedSince.Sub(currentAt) >= openAfter {
		return
	}
	h.sinceFounding = h.sinceFounding || s.SinceFounding
	if since := now.Add(-time.Duration(max(0, s.WatchedMs)) * time.Millisecond); since.Before(h.watchedSince) {
		h.watchedSince = since
	}
}

// watchedLong reports whether all versions are known at which streams began that may still be resumed.
func (h *history) watchedLong(now time.Time) bool {
	return h.sinceFounding || !h.watchedSince.IsZero() && h.life.over(now.Sub(h.watchedSince))
}
