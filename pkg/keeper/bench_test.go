package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// BenchmarkGrant measures one grant decision in a full cell: a Done frees a slot, Next
// grants it, and a new claim takes the granted one's place. ns/op is all three, ns/grant
// Next alone.
func BenchmarkGrant(b *testing.B) {
	for _, orgs := range []int{7, 71, 710} {
		for _, waiting := range []int{1000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("orgs=%d/waiting=%d", orgs, waiting), func(b *testing.B) { benchGrant(b, orgs, waiting) })
		}
	}
}

func benchGrant(b *testing.B, orgs, waiting int) {
	const routers, upstreams, slots = 8, 18, 8
	k := New(Options{MaxWaiting: 1 << 20, MaxWaitingPerOrg: 1 << 20}, nil, startTime)
	var ups []resource.Upstream
	for i := range upstreams {
		ups = append(ups, engine(fmt.Sprintf("engine-%02d", i), slots))
	}
	names := make([]string, orgs)
	weights := map[string]float64{}
	for i := range names {
		names[i] = fmt.Sprintf("org-%03d", i)
		weights[names[i]] = 1
	}
	k.Configure(ups, weights, startTime)
	k.EnableHeadroom(true)
	now := startTime
	router := func(id wire.ClaimID) wire.RouterID { return wire.RouterID(fmt.Sprint("router-", id%routers)) }
	ids := make([]wire.RouterID, routers)
	for i := range ids {
		ids[i] = router(wire.ClaimID(i))
	}
	next := wire.ClaimID(0)
	claim := func() {
		next++
		k.Claim(ids[next%routers], 1, wire.Claim{
			ID: next, Org: names[int(next*7919)%orgs], WaitMs: 600_000_000,
		}, now)
	}
	for range waiting + upstreams*slots {
		claim()
	}
	running := k.Next(now)
	b.ReportAllocs()
	var deciding time.Duration
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		g := running[n%len(running)]
		k.Done(g.To, 1, wire.Done{ID: g.Grant.ID, Upstream: g.Grant.Upstream, Cost: 200, FirstMs: 500, StepUs: 9000}, now)
		start := time.Now()
		out := k.Next(now)
		deciding += time.Since(start)
		if len(out) != 1 {
			b.Fatalf("%d grants", len(out))
		}
		running[n%len(running)] = out[0]
		claim()
	}
	b.ReportMetric(float64(deciding.Nanoseconds())/float64(b.N), "ns/grant")
}
