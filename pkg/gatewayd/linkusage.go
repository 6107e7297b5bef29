package gatewayd

import (
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// minLoggedBytes is the least traffic between two rounds of housekeeping that is logged, in bytes.
const minLoggedBytes = 256 << 10

// linkUsage reports the traffic on a router's connections by kind.
type linkUsage struct {
	sources []trafficSource
	// paused returns how long no connection was accepted so far because callers filled the link;
	// nil where that is not measured.
	paused        func() time.Duration
	reportedPause time.Duration
	scope         tally.Scope
	log           log.Interface
}

// trafficSource is one traffic counter; a kind may have several.
type trafficSource struct {
	kind     string
	count    func() traffic.Bytes
	reported traffic.Bytes
}

// watch adds a traffic counter of a kind; nil is ignored. It must not be called after the first
// report.
func (u *linkUsage) watch(kind string, count func() traffic.Bytes) {
	if count != nil {
		u.sources = append(u.sources, trafficSource{kind: kind, count: count})
	}
}

// report updates the metrics, and logs the traffic when it reaches minLoggedBytes.
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
		u.log.WithFields(fields).Info("traffic since the last housekeeping round")
	}
}

// bytesFromCallers returns the bytes received from callers, including connections handed over.
func (p *Process) bytesFromCallers() int64 {
	all := int64(0)
	for _, count := range p.callerTraffic {
		all += count().Received
	}
	return all
}
