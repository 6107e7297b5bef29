package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Story: one of five engines becomes ten times as slow. Work hardly ever ends there, so
// ends alone don't tell; its pace does, and it gets nothing new until a probe is quick. On
// another engine only one organisation's work advances, and its callers read slowly: that
// engine stays.
func TestSlowEngineIsTakenOut(t *testing.T) {
	var ups []resource.Upstream
	for i := range 5 {
		ups = append(ups, engine(fmt.Sprint("u", i), 4))
	}
	b := newBed(t, Options{}, ups...)
	for id := range wire.ClaimID(20) {
		b.claim("r", 1, id, []string{"a", "b"}[id/5%2])
	}
	granted := b.next()
	equal(t, 20, len(granted))
	limit := func(name string) int { return b.k.upstreams[name].limiter.Limit(b.now) }
	work := func(intervals int, slow float64) {
		for range intervals {
			var r wire.Report
			for _, o := range granted {
				s := b.k.slots[key{o.To, 1, o.Grant.ID}]
				pace := 40.0
				switch {
				case s.upstream.name == "u0" || (s.upstream.name == "u1" && s.org == "a"):
					pace = slow
				case s.upstream.name == "u1":
					pace = 0
				}
				r.Running = append(r.Running, wire.Running{ID: s.id, Org: s.org, Upstream: s.upstream.name, Cost: s.cost + pace})
			}
			b.report("r", r)
			b.pass(500 * time.Millisecond)
		}
	}
	work(8, 40)
	equal(t, 4, limit("u0"))
	work(5, 4)
	equal(t, true, limit("u0") <= 1)
	equal(t, 4, limit("u1"))
	work(20, 4)
	equal(t, true, limit("u0") <= 1)
	equal(t, 4, limit("u1"))
}
