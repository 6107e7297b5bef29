package gateway

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
)

func BenchmarkRequestMetrics(b *testing.B) {
	metrics := telemetry.NewMetrics()
	b.Cleanup(func() { metrics.Close() })
	m := newRequestMetrics(metrics.Scope)
	now := time.Now()
	r := &request{start: now, org: "org-0", route: &routing.Route{Kind: routing.Stream}}
	r.logRecord.outcome = "overloaded"
	b.ReportAllocs()
	for b.Loop() {
		m.record(r, now)
	}
}
