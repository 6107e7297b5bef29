package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// One of five engines becomes ten times slower. Few requests end there, so the limiter
// learns nothing; the reported progress shows it, and the engine gets no new work until a
// probe is fast. On another engine only one organisation's requests progress slowly,
// because its callers read slowly: that engine stays in use.
func TestSlowEngineIsEjected(t *testing.T) {
	var ups []resource.Upstream
	for i := range 5 {
		ups = append(ups, engine(fmt.Sprint("u", i), 4))
	}
	h := newHarness(t, Options{}, ups...)
	for id := range wire.ClaimID(20) {
		h.claim("r", 1, id, []string{"a", "b"}[id/5%2])
	}
	granted := h.next()
	equal(t, 20, len(granted))
	limit := func(name string) int { return h.k.upstreams[name].limiter.Limit(h.now) }
	reportProgress := func(intervals int, slow float64) {
		for range intervals {
			var r wire.Report
			for _, o := range granted {
				s := h.k.slots[claimKey{o.To, 1, o.Grant.ID}]
				pace := 40.0
				switch {
				case s.upstream.name == "u0" || (s.upstream.name == "u1" && s.org == "a"):
					pace = slow
				case s.upstream.name == "u1":
					pace = 0
				}
				r.Running = append(r.Running, wire.Running{ID: s.id, Org: s.org, Upstream: s.upstream.name, Cost: s.cost + pace})
			}
			h.report("r", r)
			h.advance(500 * time.Millisecond)
		}
	}
	reportProgress(8, 40)
	equal(t, 4, limit("u0"))
	reportProgress(5, 4)
	equal(t, true, limit("u0") <= 1)
	equal(t, 4, limit("u1"))
	reportProgress(20, 4)
	equal(t, true, limit("u0") <= 1)
	equal(t, 4, limit("u1"))
}
