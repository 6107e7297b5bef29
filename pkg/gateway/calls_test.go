package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against a router that has just started, and doesn't know yet how long calls take, refusing
// all calls while four of them wait at each instance, although a slot is free within milliseconds.
// It applies to plain services and to calls without a prompt to engines.
func TestAFreshRouterLetsCallsWait(t *testing.T) {
	g := newTestEnv(t).gateway
	s := *g.settings.Load()
	s.SlotTurn = 120 * time.Millisecond
	g.settings.Store(&s)
	full := []placement.Candidate{
		{Instance: &upstream.Instance{ID: "a", Slots: 4}, Load: placement.Load{Running: 7}},
		{Instance: &upstream.Instance{ID: "b", Slots: 4}, Load: placement.Load{Running: 7}},
	}
	for _, engine := range []*routing.Engine{nil, newEngine(4)} {
		r := &request{service: &routing.Service{Name: fmt.Sprint("t", engine), Engine: engine}, route: &routing.Route{Objective: 400 * time.Millisecond}}
		placed := func() bool {
			req := placement.Request{Service: r.service}
			g.setLimits(r, &req, r.start)
			return placement.Choose(req, full, g.speedFor(r)).OK
		}
		require.True(t, placed())
		for range 10 {
			g.observeCall(r, placement.Choice{Candidate: placement.Candidate{Instance: full[0].Instance}}, 2*time.Second)
		}
		require.False(t, placed(), "calls of two seconds would wait for too long")
	}
}
