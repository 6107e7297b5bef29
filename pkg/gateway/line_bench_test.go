package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// The line of a request, as the daemon's log writes it.
func BenchmarkLine(b *testing.B) {
	refused := benchRequest()
	refused.trail.outcome, refused.trail.status = "overloaded", 503
	served := benchRequest()
	served.trail.outcome, served.trail.status = outcomeServed, 200
	served.trail.steps = []step{{Instance: "i-7f3a91c2", AtMs: 1, WaitMs: 130, Running: 9, Unread: 250, Kept: 1210, Shared: 1210, FirstMs: 180, Events: 10, Outcome: outcomeServed}}
	for name, r := range map[string]*request{"refused": refused, "served": served} {
		b.Run(name, func(b *testing.B) {
			logger, err := telemetry.NewLog(io.Discard, "info", "json")
			require.NoError(b, err)
			g := &Gateway{log: logger.WithField("router", "front-klang-c-23"), meter: newMeter(nil)}
			b.ReportAllocs()
			for b.Loop() {
				g.lines = lineBudget{}
				g.record(r)
			}
		})
	}
}

func benchRequest() *request {
	r := &request{start: time.Now(), ask: Ask{RequestID: "9c41d07be2a35f68"}, version: 4711, org: "hule930", route: &routing.Route{Name: "lohu930", Kind: routing.Stream},
		service: &routing.Service{Name: "model"}, standing: placement.Standing{ShareRatio: 7.25}, tried: map[upstream.ID]bool{}}
	r.trail.decided = decided{Candidates: 64, Routers: 86, ListAgeMs: 240, SoonestMs: 812, QueueMs: 640, LimitMs: 640, QueueLimitMs: 92, Occupancy: 0.14}
	return r
}
