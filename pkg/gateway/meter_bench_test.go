package gateway

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
)

func BenchmarkMeter(b *testing.B) {
	metrics := telemetry.NewMetrics()
	b.Cleanup(func() { metrics.Close() })
	m := newMeter(metrics.Scope)
	now := time.Now()
	r := &request{start: now, org: "org-0", route: &routing.Route{Kind: routing.Stream}}
	r.trail.outcome = "overloaded"
	b.ReportAllocs()
	for b.Loop() {
		m.request(r, now)
	}
}
