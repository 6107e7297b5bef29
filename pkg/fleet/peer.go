package fleet

import "time"

// peer is what is known of another router.
type peer struct {
	member  Member
	rankKey rankKey
	report  *Report
	// inSum is the report that the newest sum includes, nil for none, inSumAge its age at that
	// time.
	inSum    *Report
	inSumAge time.Duration
	// addedAt is when the peer was first learnt of.
	addedAt time.Time
	// reportAt is when its newest report arrived; zero before the first.
	reportAt time.Time
	// reportMadeAt is a time before which that report cannot have been made: it may have been on its way
	// for seconds.
	reportMadeAt time.Time
	// askedAt is when an exchange was last begun. asking is set while it runs and is not overdue.
	// inFlight counts all exchanges that run, and failures those in a row that were overdue or
	// failed.
	askedAt  time.Time
	asking   bool
	inFlight int
	failures int
	// rounds counts the exchanges begun with it.
	rounds int
	// receivedSeq is the number of the last entry received from its prefix log, receivedScope the
	// log's scope.
	receivedSeq   uint64
	receivedScope Scope
	// ackedSeq is the number of the last entry of our prefix log that it has, ackedScope the
	// log's scope.
	ackedSeq   uint64
	ackedScope Scope
	// receivedStream and ackedStream are the same for the logs of streams.
	receivedStream, ackedStream uint64
	// receivedSuspect and ackedSuspect are the same for the changes of suspicions.
	receivedSuspect, ackedSuspect uint64
	// joinedAt is when the peer last used this router as its hub.
	joinedAt time.Time
	// reportInterval is the time until the peer's next report, as it announced.
	reportInterval time.Duration
	// listedAt is when a hub last listed the peer as alive and listedFor how long that holds.
	// ready says that callers may be sent to it, starved that it gets too little CPU, both as far
	// as is known.
	listedAt  time.Time
	listedFor time.Duration
	ready     bool
	starved   bool
	// config is its configuration version, as far as is known.
	config int64
	// members are the routers that the peer, a hub, last listed, digest their digest.
	members []MemberState
	digest  uint64
	// lacks is what the peer lacks, known since lacksSince, and pushedAt when that was last
	// pushed to it.
	lacks                versions
	lacksSince, pushedAt time.Time
	// clock is the newest clock value that the peer has sent in its current life.
	clock int64
	// ackedDigest is the digest of the member list that the peer has from this router.
	ackedDigest uint64
}

// reportedRecently reports whether a report of the peer itself arrived within aliveTimeout.
func (p *peer) reportedRecently(now time.Time) bool {
	return !p.reportAt.IsZero() && now.Sub(p.reportAt) < aliveTimeout
}

// alive reports whether the peer has sent a report recently or is on a hub's current member list.
func (p *peer) alive(now time.Time) bool {
	return p.reportedRecently(now) || !p.listedAt.IsZero() && now.Sub(p.listedAt) < p.listedFor
}

// everAlive reports whether the peer has ever sent a report or been on a hub's member list.
func (p *peer) everAlive() bool { return !p.reportAt.IsZero() || !p.listedAt.IsZero() }

// noteReceived records which entries of the peer's logs have arrived with r.
func (p *peer) noteReceived(r *Report) {
	if r.SuspectsAfter <= p.receivedSuspect {
		p.receivedSuspect = max(p.receivedSuspect, r.LastSuspect)
	}
	if r.PrefixScope != p.receivedScope || r.LastStream > p.receivedStream {
		p.receivedStream = r.LastStream
	}
	if r.PrefixScope != p.receivedScope || r.LastSeq > p.receivedSeq {
		p.receivedSeq, p.receivedScope = r.LastSeq, r.PrefixScope
	}
}

// countsInSum reports whether the peer's newest report describes work that no other report
// includes.
//
// The work of a router that now reports to another hub, or whose hub died and was replaced, would
// be counted twice until the old report expires, and engines would seem full. Reports through
// hubs are so frequent that half the usual lifetime is enough for them.
func (p *peer) countsInSum(now time.Time) bool {
	switch {
	case p.report.Scope == ScopeGroup:
		return p.failures == 0 && now.Sub(p.reportAt) < groupTimeout
	case p.report.Scope == ScopeAll:
		return false
	case !p.joinedAt.IsZero():
		return p.inGroup(now)
	}
	return p.reportedRecently(now)
}

// inGroup reports whether the peer relies on this router, its hub, to report its work to others.
func (p *peer) inGroup(now time.Time) bool {
	return !p.joinedAt.IsZero() && now.Sub(p.joinedAt) < groupTimeout+p.reportInterval
}

// isOutdated reports whether r comes from an earlier life than the peer's newest report.
//
// A delayed report of the earlier life would bring back work that ended with it. Lives are
// ordered by the host's wall clock, which may jump back: once the later life has been silent,
// whichever life sends reports is the newer one, whatever its start time.
//
// In the same life, a report that an overdue exchange delivers after a newer one is outdated as well.
func (p *peer) isOutdated(r *Report, now time.Time) bool {
	if !p.reportedRecently(now) {
		return false
	}
	return r.From.Started < p.report.From.Started || r.From.Started == p.report.From.Started && r.Clock < p.clock
}

// state is the peer as it appears on the member lists that this router sends.
func (p *peer) state() MemberState {
	return MemberState{Member: p.member, Ready: p.ready, CPUStarved: p.starved, Config: p.config}
}
