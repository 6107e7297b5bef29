package limit

import "time"

// Bounds of the time for which a dead upstream gets no work.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// maxFailures is the number of failures in a row, from more than one organisation, that
// take an upstream out. One organisation's bad requests alone never do.
const maxFailures = 8

// health decides whether an upstream is used: up, down until a time, or probed.
type health struct {
	down    bool
	until   time.Time
	backoff time.Duration
	// upSince is when the upstream last came back. Work granted before that ran on the
	// earlier life; its death is known already.
	upSince  time.Time
	failures int
	failOrg  string
	mixed    bool // the failures in a row came from more than one organisation
}

// died takes the upstream out. All the work that ran on a dying upstream reports the
// same death, each in its own message: only the first counts, or one crash under eight
// requests would double the backoff eight times.
func (h *health) died(granted, now time.Time) {
	if granted.Before(h.upSince) || (h.down && granted.Before(h.until)) {
		return
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.down = true
	h.until = now.Add(h.backoff)
	h.failures, h.mixed = 0, false
}

func (h *health) failed(org string, granted, now time.Time) {
	h.mixed = h.failures > 0 && (h.mixed || org != h.failOrg)
	h.failures++
	h.failOrg = org
	if h.failures >= maxFailures && h.mixed {
		h.died(granted, now)
	}
}

// served brings a probed upstream back. The backoff halves and doesn't vanish, so that
// an upstream which dies again at once isn't probed ever faster.
func (h *health) served(granted, now time.Time) {
	h.failures, h.mixed = 0, false
	if h.down && !granted.Before(h.until) {
		h.down = false
		h.upSince = now
		h.backoff /= 2
	}
}

// probing says that the backoff is over and no work has been served since.
func (h *health) probing(now time.Time) bool { return h.down && !now.Before(h.until) }

func (h *health) out(now time.Time) bool { return h.down && now.Before(h.until) }
