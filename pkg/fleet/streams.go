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
	lost := len(f.snapshotAt(now).lost)
	if f.role.direct {
		return f.describeDirect(lost, now)
	}
	view := affinity.PeerView{Current: true}
	if f.role.hub {
		view.Floor, view.Current = f.listFloor(ScopeAll, math.MaxInt64, now)
	} else if p := f.peers[f.role.ownHub]; p != nil && p.report != nil && p.reportedRecently(now) {
		view.Floor, view.Current = p.report.ListFloor, p.report.AllRecord
	}
	view.Complete = view.Floor > 0 && lost == 0
	return view
}

// describeDirect describes the other routers of a small fleet, each by its own reports.
func (f *Fleet) describeDirect(lost int, now time.Time) affinity.PeerView {
	view := affinity.PeerView{Floor: math.MaxInt64, Complete: lost == 0, Current: true, HeardAt: now}
	for _, p := range f.peers {
		switch {
		case p.report != nil && p.reportedRecently(now):
			view.Floor, view.Newest = min(view.Floor, p.report.Instances), max(view.Newest, p.report.Instances)
			view.Current = view.Current && p.report.RecordsStreams
		case p.alive(now) || p.presumedAlive(now):
			view.Complete = false
			continue
		}
		if !p.reportAt.IsZero() && p.reportMadeAt.Before(view.HeardAt) {
			view.HeardAt = p.reportMadeAt
		}
	}
	return view
}

// listFloor returns the lowest revision of the lists of the routers in a scope, own being this
// router's; 0 while some are not known. record says that all of them record streams.
func (f *Fleet) listFloor(scope Scope, own int64, now time.Time) (floor int64, record bool) {
	floor, record = own, true
	if scope == ScopeAll && len(f.snapshotAt(now).lost) > 0 {
		floor = 0
	}
	for addr, p := range f.peers {
		switch {
		case p.report == nil || !p.alive(now):
		case p.inGroup(now):
			floor, record = min(floor, p.report.Instances), record && p.report.RecordsStreams
		case scope == ScopeAll && f.role.isHub(addr):
			groupFloor := p.report.ListFloor
			if p.report.Scope != ScopeGroup || !p.reportedRecently(now) {
				groupFloor = 0
			}
			floor, record = min(floor, p.report.Instances, groupFloor), record && p.report.AllRecord && p.report.RecordsStreams
		}
	}
	return floor, record
}
