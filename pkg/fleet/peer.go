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

// outdated reports whether r comes from an earlier life than the peer's newest report.
//
// Guard: a late report of the earlier life would bring back work that ended with it. Lives
// are told apart by the host's time of day, which may jump back: once the later life has
// been silent, the one that speaks is the newer, whatever its clock says.
func (p *peer) outdated(r *Report, now time.Time) bool {
	return p.alive(now) && r.From.Started < p.report.From.Started
}
