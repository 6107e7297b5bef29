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

// BenchmarkLine writes the log line of a request as the daemon does.
func BenchmarkLine(b *testing.B) {
	refused := benchRequest()
	refused.logRecord.outcome, refused.logRecord.status = "overloaded", 503
	served := benchRequest()
	served.logRecord.outcome, served.logRecord.status = outcomeServed, 200
	served.logRecord.attempts = []attemptRecord{{Instance: "i-7f3a91c2", OffsetMs: 1, ExpectedWaitMs: 130, Running: 9, UncachedTokens: 250, CachedTokens: 1210, SharedTokens: 1210, FirstByteMs: 180, Events: 10, Outcome: outcomeServed}}
	for name, r := range map[string]*request{"refused": refused, "served": served} {
		b.Run(name, func(b *testing.B) {
			logger, err := telemetry.NewLog(io.Discard, "info", "json")
			require.NoError(b, err)
			g := &Gateway{log: logger.WithField("router", "front-klang-c-23"), metrics: newRequestMetrics(nil)}
			b.ReportAllocs()
			for b.Loop() {
				g.logBudget = logBudget{}
				g.record(r)
			}
		})
	}
}

func benchRequest() *request {
	r := &request{start: time.Now(), meta: RequestMetadata{RequestID: "9c41d07be2a35f68"}, configVersion: 4711, org: "hule930", route: &routing.Route{Name: "lohu930", Kind: routing.Stream},
		service: &routing.Service{Name: "model"}, standing: placement.Standing{ShareRatio: 7.25}, tried: map[upstream.ID]bool{}}
	r.logRecord.placement = placementRecord{Candidates: 64, Routers: 86, ListAgeMs: 240, ShortestWaitMs: 812, ShortestQueueMs: 640, MaxWaitMs: 640, MaxQueueMs: 92, Occupancy: 0.14}
	return r
}
