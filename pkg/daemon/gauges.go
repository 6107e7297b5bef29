package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/claimant"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/keeping"
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/peer"
)

const gaugesEvery = 500 * time.Millisecond

// gauges brings the counts of all duties into the metrics.
type gauges struct {
	scope     tally.Scope
	transport *peer.Transport
	keeping   *keeping.Manager
	claimant  *claimant.Claimant
	live      *config.Live
	members   *member.Duty
	suspects  *suspects
	last      peer.Stats
	// claims, own and granted are those counted already.
	claims, own uint64
	granted     keeper.GrantCounts
}

func (g *gauges) run(ctx context.Context) {
	tick := time.NewTicker(gaugesEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.wire()
			g.sent()
			g.fleet(now)
		}
	}
}

func (g *gauges) wire() {
	scope := g.scope.SubScope("peer")
	s, last := g.transport.Stats(), g.last
	scope.Counter("wire_bytes_sent").Inc(int64(s.BytesSent - last.BytesSent))
	scope.Counter("wire_bytes_received").Inc(int64(s.BytesReceived - last.BytesReceived))
	scope.Counter("wire_packets_sent").Inc(int64(s.PacketsSent - last.PacketsSent))
	scope.Counter("wire_packets_received").Inc(int64(s.PacketsReceived - last.PacketsReceived))
	scope.Counter("messages_dropped").Inc(int64(s.Dropped - last.Dropped))
	scope.Counter("messages_undelivered").Inc(int64(s.Undelivered - last.Undelivered))
	scope.Counter("dials_failed").Inc(int64(s.DialsFailed - last.DialsFailed))
	scope.Counter("refused").Inc(int64(s.Refused - last.Refused))
	scope.Gauge("connections").Update(float64(s.Connections))
	g.last = s
}

// sent counts claims, and those that cross no wire.
func (g *gauges) sent() {
	scope := g.scope.SubScope("claimant")
	claims, own := g.claimant.Claims()
	scope.Counter("claims").Inc(int64(claims - g.claims))
	scope.Counter("claims_own").Inc(int64(own - g.own))
	g.claims, g.own = claims, own
}

func (g *gauges) fleet(now time.Time) {
	k := g.keeping.Stats()
	scope := g.scope.SubScope("keeper")
	scope.Gauge("cells").Update(float64(k.Cells))
	scope.Gauge("slots_used").Update(float64(k.Slots))
	scope.Gauge("slots_spare").Update(float64(k.Spare))
	scope.Gauge("backlog").Update(float64(k.Backlog))
	scope.Gauge("counter_gap").Update(k.Gap)
	scope.Counter("grants").Inc(int64(k.Grants.All - g.granted.All))
	scope.Counter("grants_unopposed").Inc(int64(k.Grants.Uncontended - g.granted.Uncontended))
	g.granted = k.Grants
	g.scope.SubScope("claimant").Gauge("waiting").Update(float64(g.claimant.Waiting()))
	alive, known := g.members.View().Reachable()
	members := g.scope.SubScope("member")
	members.Gauge("alive").Update(float64(alive))
	members.Gauge("known").Update(float64(known))
	suspected, confirmed := g.suspects.list.Count()
	q := g.scope.SubScope("quarantine")
	q.Gauge("suspected").Update(float64(suspected))
	q.Gauge("confirmed").Update(float64(confirmed))
	c := g.scope.SubScope("config")
	c.Gauge("version").Update(float64(g.live.Version()))
	if age, ok := g.live.Confirmed(now); ok {
		c.Gauge("confirmed_age_seconds").Update(age.Seconds())
	}
}
