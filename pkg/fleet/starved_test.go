package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// A router of a large fleet is so CPU-starved that it misses its hub's reports for two seconds,
// and then receives a report from one other router. If it took that router for the whole fleet,
// an organisation with seven times its fair share would seem to have just that: it would be
// served without limit, while others, limited elsewhere, would get less than half. Such requests
// are logged with a standing of 1.01 or 0, those of the other organisation with 3.
func TestRouterThatMissesItsHubKeepsItsLastUses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newTestFleet(n)
		c.run(4 * time.Second)
		starved := c.member("")
		other := c.member(starved.fleet.self.Peers)
		time.Sleep(2 * time.Second)
		report := other.fleet.request(other.fleet.peers[starved.fleet.self.Peers], false)
		starved.fleet.handleReport(&report, time.Now())
		require.InDelta(t, 5*(n-1), starved.uses["org"].Got, 1e-6)

		time.Sleep(hubUsesMaxAge)
		starved.fleet.handleReport(&report, time.Now())
		require.InDelta(t, 5, starved.uses["org"].Got, 1e-6, "the hub's report is too old")
	})
}

// A CPU-starved router of a large fleet receives no reports for two seconds. If it then changed
// its role to direct, it would exchange with every router that it knows, have still less CPU, and
// count the work of only a few.
func TestStarvedRouterKeepsItsRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestFleet(48)
		c.run(4 * time.Second)
		starved := c.member("")
		starved.starved = true
		starved.fleet.request(starved.fleet.peers[starved.fleet.role.ownHub], false)
		time.Sleep(2 * time.Second)
		starved.fleet.duePeers(time.Now())
		require.False(t, starved.fleet.role.direct)
		require.NotEmpty(t, starved.fleet.role.ownHub)
	})
}

// member returns a router that is no hub.
func (c *testFleet) member(except string) *router {
	for addr, r := range c.routers {
		if addr != except && !r.fleet.role.hub && !r.fleet.role.direct {
			return r
		}
	}
	return nil
}

// A CPU-starved router must not consider each peer lost because of late answers, and other
// routers must not keep waiting for a peer that is lost.
func TestStarvedRouterWaitsLongerForAnswers(t *testing.T) {
	const answersAfter = exchangeTimeout + 200*time.Millisecond
	for starved, overdue := range map[bool]bool{false: true, true: false} {
		synctest.Test(t, func(t *testing.T) {
			r := &router{reported: make(chan struct{}, 1), starved: starved}
			r.fleet = New(Member{Name: "a", Peers: "a", Started: 1}, r, discardLog)
			r.fleet.SetSecret(secret)
			r.exchanger = NewExchanger(r.fleet)
			r.exchanger.http.Transport = slowPeer(answersAfter)
			r.fleet.AddMembers([]Member{{Name: "b", Peers: "b", Started: 1}})
			p := r.fleet.duePeers(time.Now())[0]
			done := make(chan struct{})
			go func() {
				defer close(done)
				r.exchanger.exchange(t.Context(), p)
			}()
			time.Sleep(exchangeTimeout)
			synctest.Wait()
			r.fleet.mu.Lock()
			require.Equal(t, overdue, p.failures > 0, "CPU-starved: %v", starved)
			require.Equal(t, !overdue, p.asking, "CPU-starved: %v", starved)
			r.fleet.mu.Unlock()
			<-done
			require.Zero(t, p.inFlight)
		})
	}
}

// slowPeer answers with an empty body after that time.
type slowPeer time.Duration

// RoundTrip implements http.RoundTripper.
func (s slowPeer) RoundTrip(r *http.Request) (*http.Response, error) {
	if !waiting.For(r.Context(), time.Duration(s)) {
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: r}, nil
}

// slowResponder answers with a report after a delay.
type slowResponder struct {
	after  time.Duration
	answer func() Report
}

// RoundTrip implements http.RoundTripper.
func (p slowResponder) RoundTrip(r *http.Request) (*http.Response, error) {
	answer := p.answer()
	if !waiting.For(r.Context(), p.after) {
		return nil, r.Context().Err()
	}
	data, err := encode(answer, secret)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data)), Request: r}, nil
}

// newRequester returns a router that knows one peer, whose answers are slow.
func newRequester(p slowResponder) (*router, *peer) {
	r := &router{reported: make(chan struct{}, 1)}
	r.fleet = New(Member{Name: "a", Peers: "a", Started: 1}, r, discardLog)
	r.fleet.SetSecret(secret)
	r.exchanger = NewExchanger(r.fleet)
	r.exchanger.http.Transport = p
	r.fleet.AddMembers([]Member{{Name: "b", Peers: "b", Started: 1}})
	return r, r.fleet.peers["b"]
}

// A router behind a saturated link must not lose its peers because each answer arrives after its
// exchange is overdue.
func TestLateAnswersAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var clock atomic.Int64
		r, p := newRequester(slowResponder{after: 3 * exchangeTimeout, answer: func() Report {
			return Report{From: Member{Name: "b", Peers: "b", Started: 1}, Clock: clock.Add(1), Ready: true}
		}})
		ctx, end := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { r.exchanger.Run(ctx) })
		time.Sleep(4 * exchangeTimeout)
		for range 20 {
			time.Sleep(aliveTimeout / 2)
			require.Equal(t, 2, r.fleet.Count())
			r.fleet.mu.Lock()
			require.LessOrEqual(t, p.inFlight, maxInFlight)
			r.fleet.mu.Unlock()
		}
		end()
		running.Wait()
		time.Sleep(requestTimeout)
	})
}

// An overdue exchange must not replace newer state of a peer by older.
func TestOlderReportsOfALifeAreOutdated(t *testing.T) {
	r, p := newRequester(slowResponder{})
	from := Member{Name: "b", Peers: "b", Started: 1}
	now := time.Now()
	r.fleet.handleReport(&Report{From: from, Clock: 20, Config: 9}, now)
	r.fleet.handleReport(&Report{From: from, Clock: 10, Config: 8}, now)
	require.EqualValues(t, 9, p.config)
	r.fleet.handleReport(&Report{From: from, Clock: 20, Config: 9, Ready: true}, now)
	require.True(t, p.ready)
}
