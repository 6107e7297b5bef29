package fleet

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// A router of a large fleet gets so little processor that it misses its hub for two
// seconds, and then hears from one other router. Taking that one for all there is, it holds
// an organisation that has seven times its share for one that has just it, and serves it
// without bound while others, held back elsewhere, get less than half. Its requests are
// logged with a standing of 1.01 or 0 from then on, those of the other organisation with 3.
func TestRouterThatMissesItsHubKeepsWhatItKnewOfOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newCrowd(n)
		c.play(4 * time.Second)
		late := c.member("")
		stray := c.member(late.fleet.self.Peers)
		time.Sleep(2 * time.Second)
		report := stray.fleet.question(stray.fleet.peers[late.fleet.self.Peers], false)
		late.fleet.incoming(&report, time.Now())
		require.InDelta(t, 5*(n-1), late.uses["org"].Got, 1e-6)

		time.Sleep(usesKept)
		late.fleet.incoming(&report, time.Now())
		require.InDelta(t, 5, late.uses["org"].Got, 1e-6, "too old to go by")
	})
}

// A router of a large fleet that gets too little processor hears of nobody for two seconds.
// Its log shows "other place in the exchange, role direct", and from then on it asks each
// router that it knows, has still less processor, and counts the work of a few.
func TestLateRouterStaysInItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(48)
		c.play(4 * time.Second)
		late := c.member("")
		late.late = true
		late.fleet.question(late.fleet.peers[late.fleet.last.own], false)
		time.Sleep(2 * time.Second)
		late.fleet.due(time.Now())
		require.False(t, late.fleet.last.direct)
		require.NotEmpty(t, late.fleet.last.own)
	})
}

// member gives a router that is no hub.
func (c *crowd) member(not string) *router {
	for addr, r := range c.routers {
		if addr != not && !r.fleet.last.hub && !r.fleet.last.direct {
			return r
		}
	}
	return nil
}

// A router that waits for the processor comes to read an answer half a second after it has
// arrived. Given up by then, no exchange would ever succeed there, and it would know
// nothing of what others do.
func TestLateRouterWaitsLongerForAnswers(t *testing.T) {
	const answersAfter = exchangeTimeout + 200*time.Millisecond
	for late, waits := range map[bool]time.Duration{false: exchangeTimeout, true: answersAfter} {
		synctest.Test(t, func(t *testing.T) {
			r := &router{heard: make(chan struct{}, 1), late: late}
			r.fleet = New(Member{Name: "a", Peers: "a", Started: 1}, r, quiet)
			r.fleet.SetSecret(secret)
			r.duty = NewDuty(r.fleet)
			r.duty.http.Transport = slowPeer(answersAfter)
			r.fleet.Meet([]Member{{Name: "b", Peers: "b", Started: 1}})
			p := r.fleet.due(time.Now())[0]
			began := time.Now()
			r.duty.exchange(t.Context(), p)
			require.Equal(t, waits, time.Since(began), "late: %v", late)
		})
	}
}

// slowPeer answers after that time.
type slowPeer time.Duration

// RoundTrip implements http.RoundTripper.
func (s slowPeer) RoundTrip(r *http.Request) (*http.Response, error) {
	if !waiting.For(r.Context(), time.Duration(s)) {
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: r}, nil
}
