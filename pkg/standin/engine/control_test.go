package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const longPromptBlocks = 3 * blocksPerStep

func longPromptBody() string {
	return `{"prompt":"` + strings.Repeat("x", longPromptBlocks*blockBytes) + `","standin_tokens":1}`
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, b bench) {
		<-b.start(t.Context(), "cold", longPromptBody())
		<-b.start(t.Context(), "warm", longPromptBody())
		runs := b.Journal().Attempts
		require.Equal(t, 4*DefaultStep, runs[0].Ended.Sub(runs[0].Started))
		require.Equal(t, DefaultStep, runs[1].Ended.Sub(runs[1].Started))
	})
}

func TestExportedCacheWarmsAnotherEngine(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, b bench) {
		<-b.start(t.Context(), "a1", longPromptBody())
		blob := b.do(t.Context(), http.MethodGet, "/v1/kv/a1", "", "").Body.String()
		other := New(Options{})
		to := bench{other, other.Handler()}
		require.Equal(t, http.StatusOK, to.do(t.Context(), http.MethodPut, "/v1/kv", "", blob).Code)
		require.Equal(t, longPromptBlocks, other.cache.blocks.Len())
		require.Equal(t, http.StatusBadRequest, to.do(t.Context(), http.MethodPut, "/v1/kv", "", "odd").Code)
	})
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, b bench) {
		<-b.start(t.Context(), "a1", longPromptBody())
		var list CacheEventList
		b.get(t, "/v1/cache/events", &list)
		require.Empty(t, list.Events)
		<-time.After(cacheEventLag)
		b.get(t, "/v1/cache/events", &list)
		require.Len(t, list.Events, longPromptBlocks-longPromptBlocks/cacheEventGap)
		require.EqualValues(t, cacheEventGap+1, list.Events[cacheEventGap-1].Seq)
	})
}

func TestLoadReportLags(t *testing.T) {
	inBubble(t, Options{Slots: 1}, func(t *testing.T, b bench) {
		b.start(t.Context(), "a1", `{"prompt":"p","standin_tokens":1000}`)
		var load Load
		b.get(t, "/v1/load", &load)
		require.Zero(t, load.Running)
		<-time.After(2*defaultLag + DefaultStep)
		b.get(t, "/v1/load", &load)
		require.Equal(t, 1, load.Running)
		b.cancelByID("a1")
		b.get(t, "/v1/load", &load)
		require.Equal(t, 1, load.Running, "the report is old")
	})
}

// A router was paused while another one took the lease, and now sends its old order.
// An engine that checks refuses it; one that doesn't goes back to the old model.
func TestOldFencingNumber(t *testing.T) {
	for _, checks := range []bool{true, false} {
		inBubble(t, Options{ChecksFence: checks}, func(t *testing.T, b bench) {
			newer := `{"fence":2,"id":"o2","model":"new"}`
			older := `{"fence":1,"id":"o1","model":"old"}`
			require.Equal(t, http.StatusOK, b.do(t.Context(), http.MethodPost, "/v1/orders", "", newer).Code)
			code := b.do(t.Context(), http.MethodPost, "/v1/orders", "", older).Code
			var state State
			b.get(t, "/v1/state", &state)
			if checks {
				require.Equal(t, http.StatusPreconditionFailed, code)
				require.Equal(t, "new", state.Model)
			} else {
				require.Equal(t, http.StatusOK, code)
				require.Equal(t, "old", state.Model)
			}
		})
	}
}

// A router gives up on an engine that hangs. The request must not run afterwards:
// nobody would read it, and it would count as doubled once it ran elsewhere.
func TestHeldRequestDoesNotRunForACallerThatLeft(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, b bench) {
		b.SetFaults(Faults{HangMs: 60_000})
		ctx, hangUp := context.WithCancel(t.Context())
		gone := b.start(ctx, "a1", `{"prompt":"p"}`)
		hangUp()
		require.True(t, (<-gone).broken)
		<-time.After(2 * time.Minute)
		require.Empty(t, b.Journal().Attempts)
	})
}

func TestFaultsAreChecked(t *testing.T) {
	handler := New(Options{}).Handler()
	for body, want := range map[string]int{
		`{"stepMs":2.5,"slots":4}`: http.StatusOK,
		`{"crashon2":"x"}`:         http.StatusBadRequest,
		`{"hangMs":-1}`:            http.StatusBadRequest,
		`{"slots":1000000}`:        http.StatusBadRequest,
		`{"endless":"tail"}`:       http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/admin/faults", strings.NewReader(body)))
		require.Equal(t, want, w.Code, body)
	}
}

func TestFaultyAnswers(t *testing.T) {
	const stream = `{"prompt":"p","stream":true,"standin_tokens":4}`
	for name, c := range map[string]struct {
		faults Faults
		check  func(t *testing.T, a answer)
	}{
		"garbage":  {Faults{Garbage: true}, func(t *testing.T, a answer) { require.Contains(t, a.Body.String(), "{not JSON") }},
		"truncate": {Faults{Truncate: true}, func(t *testing.T, a answer) { require.NotContains(t, a.Body.String(), "id: 2") }},
		"surplus":  {Faults{Surplus: true}, func(t *testing.T, a answer) { require.NotRegexp(t, `\[DONE\]\s*$`, a.Body.String()) }},
		"wrong":    {Faults{WrongAttempt: true}, func(t *testing.T, a answer) { require.NotEqual(t, "a1", a.Header().Get(attemptHeader)) }},
		"refuse":   {Faults{Refuse: true}, func(t *testing.T, a answer) { require.Equal(t, http.StatusServiceUnavailable, a.Code) }},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, Options{}, func(t *testing.T, b bench) {
				b.SetFaults(c.faults)
				a := <-b.start(t.Context(), "a1", stream)
				require.False(t, a.broken)
				c.check(t, a)
			})
		})
	}
}
