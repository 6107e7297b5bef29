package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
)

// fakeKeeper is the only keeper of a fleet.
type fakeKeeper struct {
	answer func(a booking.Ask) (booking.Answer, error)
	asks   []booking.Ask
}

func (k *fakeKeeper) Keepers(time.Time) ([]booking.Router, string) {
	return []booking.Router{{Addr: "keeper", Zone: ""}}, "self"
}

func (k *fakeKeeper) HasKeepers() bool { return true }

func (k *fakeKeeper) AskKeeper(_ context.Context, _ string, a booking.Ask) (booking.Answer, error) {
	k.asks = append(k.asks, a)
	return k.answer(a)
}

// bookedEnv is a gateway whose streams may pause for 400 ms and whose prompts are booked.
func bookedEnv(t *testing.T, answer func(a booking.Ask) (booking.Answer, error)) (*testEnv, *fakeKeeper) {
	env := newTestEnv(t)
	cfg := env.config()
	cfg.Version, cfg.Services[0].Engine = 2, newEngine(10)
	cfg.Services[0].Engine.KVCapacity = 1 << 20
	for i := range cfg.Routes {
		cfg.Routes[i].MaxPause = 400 * time.Millisecond
		cfg.Routes[i].Objective = time.Minute // keepers have 3 s to answer
	}
	env.catalog.Adopt(cfg, "test")
	k := &fakeKeeper{answer: answer}
	env.gateway.bookings = booking.NewClient(k, booking.NewBook(booking.DefaultRunShare), env.gateway.log)
	env.startUpstreams(respondWith("hello"), respondWith("hello"))
	return env, k
}

func atOnce(booking.Ask) (booking.Answer, error) { return booking.Answer{Offer: 0}, nil }

func TestLongPromptsAreBooked(t *testing.T) {
	env, k := bookedEnv(t, atOnce)
	status, _, _ := env.get("/safe/", "X-Tokens", "5000")
	require.Equal(t, http.StatusOK, status)
	require.Len(t, k.asks, 1)
	require.Equal(t, 400, k.asks[0].MaxPauseMs)
	offer := k.asks[0].Offers[0]
	require.Equal(t, "i0", offer.Instance)
	require.Equal(t, 100, offer.PrefillMs)
	require.InDelta(t, 48_000, offer.MaxWaitMs, 2000, "0.8 of the objective less the prefill")
}

func TestShortPromptsAndCallsAreNotBooked(t *testing.T) {
	env, k := bookedEnv(t, atOnce)
	env.get("/safe/", "X-Tokens", "500")
	env.get("/safe/")
	require.Empty(t, k.asks)
}

func TestNothingIsBookedWhereNobodyCallsForIt(t *testing.T) {
	for name, change := range map[string]func(env *testEnv){
		"switched off": func(env *testEnv) {
			s := *env.gateway.settings.Load()
			s.Disabled.Bookings = true
			env.gateway.UpdateSettings(s)
		},
		"no processor to spare": func(env *testEnv) { env.cpuStarved = true },
		"streams may pause": func(env *testEnv) {
			cfg := env.config()
			cfg.Version, cfg.Services[0].Engine = 3, newEngine(10)
			env.catalog.Adopt(cfg, "test")
		},
	} {
		env, k := bookedEnv(t, atOnce)
		change(env)
		status, _, _ := env.get("/safe/", "X-Tokens", "5000")
		require.Equal(t, http.StatusOK, status, name)
		require.Empty(t, k.asks, name)
	}
}

func TestARequestIsHeldUntilItsTurn(t *testing.T) {
	env, _ := bookedEnv(t, func(booking.Ask) (booking.Answer, error) { return booking.Answer{Offer: 0, DelayMs: 40}, nil })
	began := time.Now()
	status, _, _ := env.get("/safe/", "X-Tokens", "5000")
	require.Equal(t, http.StatusOK, status)
	require.GreaterOrEqual(t, time.Since(began), 40*time.Millisecond)
}

// Guards against running a request whose caller left while it was held.
func TestAHeldRequestIsNotSentForACallerThatLeft(t *testing.T) {
	env, k := bookedEnv(t, func(booking.Ask) (booking.Answer, error) { return booking.Answer{Offer: 0, DelayMs: 2000}, nil })
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := env.client.Do(env.newRequest("/safe/", "X-Tokens", "5000").WithContext(ctx))
	require.Error(t, err)
	env.server.Close() // waits for the handler
	require.Len(t, k.asks, 1)
	require.Zero(t, env.upstreamRequests())
}

// Guards against a held request that is answered as if it had run when its deadline passes.
func TestAHeldRequestThatExpiresHasNotRun(t *testing.T) {
	env, k := bookedEnv(t, func(booking.Ask) (booking.Answer, error) { return booking.Answer{Offer: 0, DelayMs: 2000}, nil })
	status, _, _ := env.get("/once/", "X-Tokens", "5000", "X-Deadline", "500")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Len(t, k.asks, 1)
	require.Zero(t, env.upstreamRequests())
}

// Guards against refusing requests because a keeper is down.
func TestWithoutAnAnswerAPromptIsPlacedAsBefore(t *testing.T) {
	env, k := bookedEnv(t, func(booking.Ask) (booking.Answer, error) { return booking.Answer{}, errors.New("down") })
	status, _, _ := env.get("/safe/", "X-Tokens", "5000")
	require.Equal(t, http.StatusOK, status)
	require.Len(t, k.asks, 1)
}

func TestOnlyOrganisationsOverTheirShareAreRefusedForLackOfRoom(t *testing.T) {
	env, _ := bookedEnv(t, func(booking.Ask) (booking.Answer, error) {
		return booking.Answer{Offer: booking.None, DelayMs: 300}, nil
	})
	status, _, _ := env.get("/safe/", "X-Tokens", "5000")
	require.Equal(t, http.StatusOK, status)
	env.gateway.shares.SetOthers(map[string]placement.Use{"org": {Asked: 5e6, Got: 5.5e5}, "other": {Asked: 5e6, Got: 4e5}})
	status, _, header := env.get("/safe/", "X-Tokens", "5000")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "0.300", header.Get("Retry-After"), "the time until there is room")
	require.Equal(t, 1, env.upstreamRequests())
}

// Guards against moving a stream to another software version for the sake of a turn.
func TestStreamsThatGoOnAreNotBooked(t *testing.T) {
	env, _ := bookedEnv(t, atOnce)
	r := &request{bound: true, route: &routing.Route{Objective: time.Second}, service: &routing.Service{Name: "app", Engine: newEngine(10)}}
	r.meta = testDialect{}.DecodeRequest(http.Header{"X-Tokens": {"5000"}})
	require.False(t, env.gateway.takesTurns(r))
	r.bound = false
	require.True(t, env.gateway.takesTurns(r))
}
