package gateway

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// connectCost is the time that a new connection to an instance costs, 0 where that isn't considered.
func (g *Gateway) connectCost() time.Duration {
	s := g.settings.Load()
	if s.Disabled.Connected {
		return 0
	}
	return s.ConnectCost
}

// markConnected marks the candidates to which this router has an idle connection.
func (g *Gateway) markConnected(list []placement.Candidate, now time.Time) {
	if g.connectCost() <= 0 {
		return
	}
	g.pools.EachConnected(len(list), func(i int) *upstream.Instance { return list[i].Instance }, func(i int) { list[i].Connected = true }, now)
}
