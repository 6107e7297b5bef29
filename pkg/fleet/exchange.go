package fleet

import (
	"time"

	"github.com/apex/log"
)

// request builds the report that begins an exchange with p.
func (f *Fleet) request(p *peer, withOthers bool) Report {
	f.mu.Lock()
	theirs, echo := p.report, p.clock
	f.mu.Unlock()
	r, now := f.describeSelf(withOthers)
	f.pushUpdate(&r, p, theirs, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	// A clock value that arrived after the description would make it look younger than it is.
	r.Echo = min(echo, p.clock)
	scope := ScopeOwn
	switch current := f.role; {
	case current.direct:
	case current.hub && current.isHub(p.member.Peers):
		scope = ScopeGroup
	case !current.hub && current.ownHub == p.member.Peers:
		r.AskAll = true
	}
	f.setScope(&r, p, scope, withOthers, now)
	return r
}

// response builds the answer to req from p.
func (f *Fleet) response(p *peer, req *Report) Report {
	r, now := f.describeSelf(req.AskOthers)
	f.pushUpdate(&r, p, req, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	scope := ScopeOwn
	switch {
	case req.AskAll:
		scope = ScopeAll
	case req.Scope == ScopeGroup:
		scope = ScopeGroup
	}
	f.setScope(&r, p, scope, req.AskOthers, now)
	return r
}

// describeSelf builds a report of this router's own work.
func (f *Fleet) describeSelf(withOthers bool) (Report, time.Time) {
	r := Report{From: f.self, Clock: f.uptimeMs(time.Now()), RecordsStreams: true, RegistersVersions: true}
	f.local.Describe(&r)
	if withOthers {
		r.AskOthers = true
	}
	r.Software = f.local.Software(withOthers)
	prefixes, streams := f.local.NewPrefixes(), f.local.NewStreams()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.prefixLogs {
		f.prefixLogs[i].add(prefixes)
	}
	for i := range f.streamLogs {
		f.streamLogs[i].add(streams)
	}
	now := time.Now()
	if r.CPUStarved {
		f.starvedAt = now
	}
	f.recordWork(&r, now)
	return r, now
}

// setScope extends r, which describes this router alone, to the work of the given scope.
func (f *Fleet) setScope(r *Report, p *peer, scope Scope, withOthers bool, now time.Time) {
	r.Scope, r.PrefixScope = scope, scope
	after, afterStream := p.ackedSeq, p.ackedStream
	if p.ackedScope != scope {
		after, afterStream = 0, 0
	}
	r.Prefixes, r.LastSeq = f.prefixLogs[scope].after(after)
	if scope != ScopeAll {
		r.Streams, r.LastStream = f.streamLogs[scope].after(afterStream)
	}
	r.AckStream = p.receivedStream
	r.Suspects, r.LastSuspect = f.local.Suspects(p.ackedSuspect)
	r.SuspectsAfter, r.AckSuspect = p.ackedSuspect, p.receivedSuspect
	r.AckSeq, r.AckLife, r.AckScope = p.receivedSeq, p.member.Started, p.receivedScope
	r.AckDigest = p.digest
	r.MissesRouters = !f.allAlive(now)
	if scope != ScopeOwn {
		f.addTotals(r, p, scope, now)
		return
	}
	if !withOthers || !f.role.direct {
		return
	}
	for _, o := range f.peers {
		if o != p && o.alive(now) {
			r.Others = append(r.Others, o.member)
		}
	}
}

// addTotals adds the work of the other routers in the scope to r, and lists these routers.
func (f *Fleet) addTotals(r *Report, p *peer, scope Scope, now time.Time) {
	var total Totals
	if scope == ScopeAll {
		total = f.sumWithout(p, now)
	} else {
		total = f.sumGroup(now)
	}
	total.add(r, 1, 0)
	total.fill(r)
	members := f.membersOf(scope, MemberState{Member: f.self, Ready: r.Ready, CPUStarved: r.CPUStarved, Config: r.Config}, now)
	r.Digest = members.digest
	if members.digest != p.ackedDigest {
		r.Members = members.list
	}
	r.ListFloor, r.AllRecord, r.AllRegister = min(members.floor.revision, r.Instances), members.floor.record, members.floor.register
}

// handleReport processes a report that was created at createdAt or later; zero if that isn't known.
func (f *Fleet) handleReport(r *Report, createdAt time.Time) {
	now := time.Now()
	if createdAt.IsZero() {
		r = r.withoutAges()
	}
	f.applyUpdate(r, createdAt)
	f.mu.Lock()
	p := f.addMember(r.From)
	if p == nil || p.isOutdated(r, now) {
		f.mu.Unlock()
		return
	}
	if !p.reportedRecently(now) && f.role.direct {
		f.log.WithFields(log.Fields{"event": "peer_regained", "peer": r.From.Name, "addr": r.From.Peers, "started": r.From.Started}).Info("router is reachable")
	}
	if p.report == nil || r.From.Started != p.report.From.Started {
		p.receivedSeq, p.ackedSeq, p.clock = 0, 0, 0
		p.receivedStream, p.ackedStream = 0, 0
		p.receivedSuspect, p.ackedSuspect = 0, 0
	}
	p.clock = max(p.clock, r.Clock)
	p.member, p.reportAt, p.reportMadeAt, p.failures = r.From, now, createdAt, 0
	p.ready, p.starved, p.config = r.Ready, r.CPUStarved, r.Config
	p.ackedDigest = r.AckDigest
	f.storeReport(p, r, now)
	if r.AckLife == f.self.Started {
		p.ackedSeq, p.ackedScope, p.ackedStream, p.ackedSuspect = r.AckSeq, r.AckScope, r.AckStream, r.AckSuspect
	}
	prefixes := r.Prefixes
	// What a report to an earlier life of this router relied on may be missing here.
	if r.AckLife == 0 || r.AckLife == f.self.Started {
		p.noteReceived(r)
	}
	f.relayPrefixes(r)
	f.relayStreams(r)
	f.mergeMembers(p, r, now)
	for _, m := range r.Others {
		f.addMember(m)
	}
	totals, publish := f.othersToPublish(now)
	f.mu.Unlock()
	if len(prefixes) > 0 {
		f.local.AddPrefixes(prefixes)
	}
	if len(r.Streams) > 0 {
		f.local.AddStreams(r.Streams)
	}
	if r.Software != nil {
		f.local.MergeSoftware(*r.Software, latestUse(createdAt, now))
	}
	if len(r.Suspects) > 0 {
		f.local.MergeSuspects(r.Suspects)
	}
	if publish {
		f.local.SetOthers(totals)
	}
	f.local.MergeEvacuated(r.From, r.Evacuated, r.EvacuatedAt, r.Restored)
	if len(r.Leaving) > 0 {
		f.local.MergeLeaving(r.From, r.Leaving, latestUse(createdAt, now))
	}
	if r.Store != nil {
		f.local.StoreContacted(r.Store.span(createdAt, now))
	}
	f.local.PeerVersions(r, r.listAsOf(createdAt))
}

// storeReport stores the work that r describes, without the parts that are processed immediately.
func (f *Fleet) storeReport(p *peer, r *Report, now time.Time) {
	stored := *r
	stored.Prefixes, stored.Others, stored.Suspects, stored.Members, stored.Evacuated, stored.Restored, stored.Store, stored.Update = nil, nil, nil, nil, nil, nil, nil, nil
	stored.Streams, stored.Software, stored.Leaving = nil, nil, nil
	if r.Scope == ScopeAll {
		f.selectUses(&stored, now)
		f.hubReport, f.hubReportAt = &stored, now
		// Its loads do not describe the hub's own work.
		p.report = &Report{From: r.From, Scope: ScopeAll, Config: r.Config, ConfigDigest: r.ConfigDigest, Instances: r.Instances, ListAgeMs: r.ListAgeMs,
			RecordsStreams: r.RecordsStreams, AllRecord: r.AllRecord, RegistersVersions: r.RegistersVersions, AllRegister: r.AllRegister, ListFloor: r.ListFloor, MissesRouters: r.MissesRouters}
		return
	}
	p.report = &stored
	p.reportInterval = min(time.Duration(max(0, r.IntervalMs))*time.Millisecond, memberIdleInterval)
	p.joinedAt = time.Time{}
	if r.AskAll {
		p.joinedAt = now
	}
}

// hubSwitchGrace is how long after a change of hub the former hub may still count this router's
// work.
const hubSwitchGrace = aliveTimeout

// selectUses decides whether the uses in a hub's report apply, or those of the report before.
//
// For a while after a router has changed its hub, the former hub still counts its work, and the
// router receives its own use as use of other routers. An organisation whose callers all use this
// router then seems to get twice its actual traffic and is refused, for seconds where the router
// is CPU-starved and misses the next reports. The uses that the former hub sent do not include
// this router's.
func (f *Fleet) selectUses(report *Report, now time.Time) {
	if f.hubReport != nil && now.Sub(f.roleSince) < hubSwitchGrace && now.Sub(f.hubUsesAt) < hubUsesMaxAge {
		report.Uses = f.hubReport.Uses
		return
	}
	f.hubUsesAt = now
}

// relayPrefixes adds the prefixes in r to the logs for routers that receive them only through
// this one.
func (f *Fleet) relayPrefixes(r *Report) {
	switch {
	case r.AskAll:
		f.prefixLogs[ScopeGroup].add(r.Prefixes)
		f.prefixLogs[ScopeAll].add(r.Prefixes)
	case r.Scope == ScopeGroup:
		f.prefixLogs[ScopeAll].add(r.Prefixes)
	}
}
