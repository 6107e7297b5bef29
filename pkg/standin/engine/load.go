package engine

import "time"

// Load is the engine's load report. It lags: it is between one and two times the
// lag old while the engine works.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CachedBlocks are blocks in the prefix cache.
	CachedBlocks int `json:"cachedBlocks"`
	// Tokens are all tokens generated since the start.
	Tokens uint64 `json:"tokens"`
}

// loadReport publishes each sample one lag after it was taken.
type loadReport struct {
	shown   Load
	pending Load
	taken   time.Time
}

// sample takes current as the next report once the last one is old enough.
func (l *loadReport) sample(current Load, now time.Time, lag time.Duration) {
	if now.Sub(l.taken) < lag {
		return
	}
	l.shown, l.pending, l.taken = l.pending, current, now
}
