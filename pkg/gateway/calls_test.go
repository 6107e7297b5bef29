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

// A router that has just started knows no call's time, also where calls without a prompt go to
// engines. Where four calls wait at each instance it
// refused all that came, though a slot was free within milliseconds.
func TestAFreshRouterLetsCallsWait(t *testing.T) {
	g := newWorld(t).gateway
	s := *g.settings.Load()
	s.SlotTurn = 120 * time.Millisecond
	g.settings.Store(&s)
	full := []placement.Candidate{
		{Instance: &upstream.Instance{ID: "a", Slots: 4}, Load: placement.Load{Running: 7}},
		{Instance: &upstream.Instance{ID: "b", Slots: 4}, Load: placement.Load{Running: 7}},
	}
	for _, engine := range []*routing.Engine{nil, engineOf(4)} {
		r := &request{service: &routing.Service{Name: fmt.Sprint("t", engine), Engine: engine}, route: &routing.Route{Objective: 400 * time.Millisecond}}
		find := func() bool {
			req := placement.Request{Service: r.service}
			g.limit(r, &req, r.start)
			return placement.Choose(req, full, g.paceFor(r)).OK
		}
		require.True(t, find())
		for range 10 {
			g.called(r, placement.Choice{Candidate: placement.Candidate{Instance: full[0].Instance}}, 2*time.Second)
		}
		require.False(t, find(), "calls of two seconds would wait for too long")
	}
}
