package fleet

import "time"

// peer is what is known of another router.
type peer struct {
	member Member
	report Report
	// heard is when the newest report came; zero before the first.
	heard time.Time
	// tried is when an exchange was last begun, asking while it runs, failed counts those in a row without an
	// answer.
	tried  time.Time
	asking bool
	failed int
	// rounds counts the exchanges begun with it.
	rounds int
	// have is the number of the last entry of its log that came here.
	have uint64
	// acked is the number of the last entry of our log that it has.
	acked uint64
}

// alive reports whether the peer was heard of lately.
func (p *peer) alive(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < aliveFor
}
