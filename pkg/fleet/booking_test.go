package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/booking"
)

func TestAKeeperIsAsked(t *testing.T) {
	a, b := newRouter(t, "a", secret), newRouter(t, "b", secret)
	answer, err := a.exchanger.AskKeeper(t.Context(), b.fleet.self.Peers, booking.Ask{MaxPauseMs: 400})
	require.NoError(t, err)
	require.Equal(t, booking.Answer{Offer: booking.None, DelayMs: 7}, answer)
}

// Guards against bookings by whoever reaches the port: they could delay all prompts.
func TestAsksOfStrangersAreRefused(t *testing.T) {
	a, forger := newRouter(t, "a", secret), newRouter(t, "x", []byte("guess"))
	_, err := forger.exchanger.AskKeeper(t.Context(), a.fleet.self.Peers, booking.Ask{MaxPauseMs: 400})
	require.ErrorContains(t, err, "403")
}

// keepersOf returns the keepers that the first of n routers knows.
func keepersOf(t *testing.T, n int, change func(*Fleet)) []booking.Router {
	f := newRouter(t, "a", secret).fleet
	f.self.Zone, f.self.Power = "one", 1
	now := time.Now()
	for i := range n - 1 {
		m := Member{Name: fmt.Sprint("m", i), Peers: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "two", Started: 1, Power: 1}
		f.handleReport(&Report{From: m, Ready: true}, now)
	}
	change(f)
	f.mu.Lock()
	f.updateRole(now)
	f.mu.Unlock()
	routers, _ := f.Keepers(now)
	return routers
}

func unchanged(*Fleet) {}

func TestHubsAreKeepers(t *testing.T) {
	require.Empty(t, keepersOf(t, directLimit, unchanged), "a small fleet needs none")
	require.GreaterOrEqual(t, len(keepersOf(t, 4*directLimit, unchanged)), minHubs)
}

// Guards against asking hubs that don't answer or have no processor to spare.
func TestHubsInTroubleAreNoKeepers(t *testing.T) {
	for name, change := range map[string]func(p *peer){
		"silent": func(p *peer) { p.failures = 1 }, "starved": func(p *peer) { p.starved = true },
	} {
		routers := keepersOf(t, 4*directLimit, func(f *Fleet) {
			for _, p := range f.peers {
				change(p)
			}
		})
		require.LessOrEqual(t, len(routers), 1, name)
		for _, r := range routers {
			require.Equal(t, "one", r.Zone, "%s: only the router itself is left", name)
		}
	}
}
