package fleet

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/affinity"
)

// StreamPath is where a router asks others for the software version of a stream.
const StreamPath = "/fleet/stream"

// maxHubsAsked is the number of hubs that a router asks: each has the records of all routers.
const maxHubsAsked = 4

// relayStreams adds the records in r to the log for routers that receive them only through this one.
func (f *Fleet) relayStreams(r *Report) {
	if r.AskAll {
		f.streamLogs[ScopeGroup].add(r.Streams)
	}
}

func (f *Fleet) serveStream(w http.ResponseWriter, in *http.Request) {
	q := new(affinity.Question)
	if f.readMessage(w, in, q) {
		f.writeMessage(w, f.local.Stream(*q))
	}
}

// AskStream asks other routers for the software version of a stream, all of them at once. It returns
// the first answer that goes by a record, without one the first that names a version.
func (e *Exchanger) AskStream(ctx context.Context, q affinity.Question) affinity.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addrs := e.fleet.streamHolders(time.Now())
	replies := make(chan affinity.Reply, len(addrs))
	for _, addr := range addrs {
		go func() { replies <- e.askStream(ctx, addr, q) }()
	}
	var best affinity.Reply
	for range addrs {
		r := <-replies
		if r.Recorded {
			return r
		}
		if best.Version == 0 {
			best = r
		}
	}
	return best
}

func (e *Exchanger) askStream(ctx context.Context, addr string, q affinity.Question) affinity.Reply {
	var r affinity.Reply
	if err := e.post(ctx, addr, StreamPath, q, &r, maxMessageBytes); err != nil {
		e.fleet.log.WithError(err).WithField("event", "stream_unanswered").WithField("addr", addr).Debug("router did not answer for a stream")
		return affinity.Reply{}
	}
	return r
}

// streamHolders returns the addresses of routers that have the records of all others: in a small fleet
// every router that is alive, in a larger one hubs.
func (f *Fleet) streamHolders(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	if f.role.direct {
		for addr, p := range f.peers {
			if p.alive(now) || p.presumedAlive(now) {
				list = append(list, addr)
			}
		}
		return list
	}
	if f.role.ownHub != "" {
		list = append(list, f.role.ownHub)
	}
	for _, addr := range f.role.hubs {
		p := f.peers[addr]
		if addr != f.role.ownHub && p != nil && p.failures == 0 && len(list) < maxHubsAsked {
			list = append(list, addr)
		}
	}
	return list
}

// peerViewMaxAge is how long a description of the other routers is reused.
const peerViewMaxAge = 20 * time.Millisecond

// PeerView describes the other routers' lists of upstreams.
func (f *Fleet) PeerView(now time.Time) affinity.PeerView {
	f.mu.Lock()
	defer f.mu.Unlock()
	if age := now.Sub(f.peerViewAt); f.peerViewAt.IsZero() || age < 0 || age >= peerViewMaxAge {
		f.peerView, f.peerViewAt = f.describePeers(now), now
	}
	return f.peerView
}

func (f *Fleet) describePeers(now time.Time) affinity.PeerView {
	if f.role.direct {
		view := f.describeDirect(now)
		view.Complete = view.Complete && !f.mayMiss(now)
		return view
	}
	view := affinity.PeerView{Current: true}
	if f.role.hub {
		floor := f.listFloor(ScopeAll, now)
		view.Floor, view.Current, view.Register = floor.revision, floor.record, floor.register
	} else if p := f.peers[f.role.ownHub]; p != nil && p.report != nil && p.reportedRecently(now) {
		view.Floor, view.Current, view.Register = p.report.ListFloor, p.report.AllRecord, p.report.AllRegister
	}
	view.Complete = view.Floor > 0 && f.allAlive(now)
	return view
}

// allAlive reports whether every router that is remembered is alive. Snapshots are too old for that: a
// router that has just fallen silent would count neither as alive nor as lost.
func (f *Fleet) allAlive(now time.Time) bool {
	for _, p := range f.peers {
		if !p.alive(now) {
			return false
		}
	}
	return true
}

// describeDirect describes the other routers of a small fleet, each by its own reports.
func (f *Fleet) describeDirect(now time.Time) affinity.PeerView {
	view := affinity.PeerView{Floor: math.MaxInt64, Complete: true, Current: true, Register: true, HeardAt: now}
	for _, p := range f.peers {
		if p.report == nil || !p.reportedRecently(now) {
			view.Complete = false
			continue
		}
		view.Floor, view.Newest = min(view.Floor, p.report.Instances), max(view.Newest, p.report.Instances)
		view.Current = view.Current && p.report.RecordsStreams
		view.Register = view.Register && p.report.RegistersVersions
		if p.reportMadeAt.Before(view.HeardAt) {
			view.HeardAt = p.reportMadeAt
		}
	}
	return view
}

// listFloor describes the routers in a scope but this one.
type listFloor struct {
	// revision is the lowest revision of their lists of upstreams; 0 while some are not known.
	revision int64
	// record says that all of them record streams, register that all register software versions.
	record, register bool
}

// add takes one more report into account: r of a router, or of a hub about its group.
func (l *listFloor) add(r *Report) {
	l.revision = min(l.revision, r.Instances)
	l.record, l.register = l.record && r.RecordsStreams, l.register && r.RegistersVersions
}

func (f *Fleet) listFloor(scope Scope, now time.Time) listFloor {
	floor := listFloor{math.MaxInt64, true, true}
	var covered map[string]bool
	if scope == ScopeAll {
		covered = f.coveredByHubs(now)
	}
	for addr, p := range f.peers {
		switch {
		case p.report != nil && p.inGroup(now):
			floor.add(p.report)
		case scope == ScopeGroup:
		case f.role.isHub(addr) && p.describesGroup(now):
			floor.add(p.report)
			floor.revision = min(floor.revision, p.report.ListFloor)
			floor.record, floor.register = floor.record && p.report.AllRecord, floor.register && p.report.AllRegister
		case !covered[addr]:
			floor.revision = 0
		}
	}
	if scope == ScopeAll && f.mayMiss(now) {
		floor.revision = 0
	}
	return floor
}

// coveredByHubs returns the routers that the newest reports of other hubs cover.
func (f *Fleet) coveredByHubs(now time.Time) map[string]bool {
	covered := make(map[string]bool)
	for _, addr := range f.role.hubs {
		if p := f.peers[addr]; p != nil && p.describesGroup(now) {
			for _, m := range p.members {
				covered[m.Member.Peers] = true
			}
		}
	}
	return covered
}

// describesGroup reports whether the peer's newest report is that of a hub about its group, and the list
// of its members is known.
func (p *peer) describesGroup(now time.Time) bool {
	return p.report != nil && p.reportedRecently(now) && p.report.Scope == ScopeGroup && p.report.Digest == p.digest
}
