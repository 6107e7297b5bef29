package gatewayd

import (
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// minLoggedBytes is the traffic between two rounds of housekeeping from which on a line is written,
// in bytes.
const minLoggedBytes = 256 << 10

// linkUsage tells what the bytes on a router's connections are for.
type linkUsage struct {
	sources []trafficSource
	// paused is how long nobody was let in so far, as callers filled the link; nil where nobody tells.
	paused        func() time.Duration
	reportedPause time.Duration
	scope         tally.Scope
	log           log.Interface
}

// trafficSource is one count of traffic; kinds may have several.
type trafficSource struct {
	kind     string
	count    func() traffic.Bytes
	reported traffic.Bytes
}

// watch adds a count of traffic of a kind; nil counts nothing. It must not be called once tell is.
func (u *linkUsage) watch(kind string, count func() traffic.Bytes) {
	if count != nil {
		u.sources = append(u.sources, trafficSource{kind: kind, count: count})
	}
}

// report brings the counters up to date, and writes a line when there was much traffic.
func (u *linkUsage) report() {
	byKind := make(map[string]traffic.Bytes)
	all := int64(0)
	for i := range u.sources {
		s := &u.sources[i]
		total := s.count()
		since := total.Minus(s.reported)
		s.reported = total
		sum := byKind[s.kind]
		byKind[s.kind] = traffic.Bytes{Sent: sum.Sent + since.Sent, Received: sum.Received + since.Received}
		all += since.Sum()
	}
	fields := log.Fields{"event": "link_use"}
	if u.paused != nil {
		paused := u.paused()
		fields["held_ms"] = (paused - u.reportedPause).Milliseconds()
		u.reportedPause = paused
	}
	for kind, b := range byKind {
		fields[kind+"_sent"], fields[kind+"_received"] = b.Sent, b.Received
		u.scope.Tagged(map[string]string{"kind": kind, "direction": "sent"}).Counter("traffic_bytes").Inc(b.Sent)
		u.scope.Tagged(map[string]string{"kind": kind, "direction": "received"}).Counter("traffic_bytes").Inc(b.Received)
	}
	if all >= minLoggedBytes {
		u.log.WithFields(fields).Info("bytes on connections since the last look")
	}
}

// bytesFromCallers counts the bytes that came from callers, also by way of other routers.
func (p *Process) bytesFromCallers() int64 {
	all := int64(0)
	for _, count := range p.callerTraffic {
		all += count().Received
	}
	return all
}
