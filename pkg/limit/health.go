package limit

import "time"

// Bounds of the time for which an ejected upstream gets no work.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// maxFailures is the number of consecutive failures, from more than one organisation,
// that ejects an upstream. The bad requests of a single organisation never do.
const maxFailures = 8

// health decides whether an upstream is used: it is up, ejected for a backoff, or probed.
type health struct {
	down      bool
	downUntil time.Time
	backoff   time.Duration
	// upSince is when the upstream last recovered. Work granted before that ran before the
	// crash, which has been counted already.
	upSince             time.Time
	consecutiveFailures int
	lastFailedOrg       string
	severalOrgs         bool // the consecutive failures came from several organisations
}

// eject takes the upstream out of use for a backoff. Each request that ran on a crashed
// upstream reports the crash separately. Only the first report counts, or one crash under
// eight requests would double the backoff eight times.
func (h *health) eject(granted, now time.Time) {
	if granted.Before(h.upSince) || (h.down && granted.Before(h.downUntil)) {
		return
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.down = true
	h.downUntil = now.Add(h.backoff)
	h.consecutiveFailures, h.severalOrgs = 0, false
}

func (h *health) recordFailure(org string, granted, now time.Time) {
	h.severalOrgs = h.consecutiveFailures > 0 && (h.severalOrgs || org != h.lastFailedOrg)
	h.consecutiveFailures++
	h.lastFailedOrg = org
	if h.consecutiveFailures >= maxFailures && h.severalOrgs {
		h.eject(granted, now)
	}
}

// recordSuccess brings a probed upstream back. The backoff is halved and not reset, so
// that an upstream which crashes again at once isn't probed at ever shorter intervals.
func (h *health) recordSuccess(granted, now time.Time) {
	h.consecutiveFailures, h.severalOrgs = 0, false
	if h.down && !granted.Before(h.downUntil) {
		h.down = false
		h.upSince = now
		h.backoff /= 2
	}
}

// probing reports whether the backoff is over and no request has succeeded since.
func (h *health) probing(now time.Time) bool { return h.down && !now.Before(h.downUntil) }

func (h *health) ejected(now time.Time) bool { return h.down && now.Before(h.downUntil) }
