package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
)

// bench runs an engine in a bubble of fake time, without a network.
type bench struct {
	*Engine
	handler http.Handler
}

func inBubble(t *testing.T, options Options, test func(t *testing.T, b bench)) {
	synctest.Test(t, func(t *testing.T) {
		e := New(options)
		ctx, cancel := context.WithCancel(t.Context())
		go e.Run(ctx)
		test(t, bench{e, e.Handler()})
		cancel()
		synctest.Wait()
	})
}

// answer is what a caller got.
type answer struct {
	*httptest.ResponseRecorder
	broken bool // the connection was broken off
}

func (b bench) do(ctx context.Context, method, path, attempt, body string) (a answer) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set(attemptHeader, attempt)
	a.ResponseRecorder = httptest.NewRecorder()
	defer func() { a.broken = recover() == http.ErrAbortHandler }()
	b.handler.ServeHTTP(a, r)
	return a
}

// start sends a request in the background; its answer comes over the channel.
func (b bench) start(ctx context.Context, attempt, body string) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- b.do(ctx, http.MethodPost, "/v1/completions", attempt, body) }()
	synctest.Wait()
	return done
}

func (b bench) get(t *testing.T, path string, into any) {
	t.Helper()
	a := b.do(t.Context(), http.MethodGet, path, "", "")
	require.Equal(t, http.StatusOK, a.Code, a.Body)
	require.NoError(t, json.Unmarshal(a.Body.Bytes(), into))
}

// states returns the journal's states by attempt.
func (b bench) states() map[string]journal.State {
	states := make(map[string]journal.State)
	for _, a := range b.Journal().Attempts {
		states[a.Attempt] = a.State
	}
	return states
}

func TestWholeAnswer(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, b bench) {
		body := `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3,"standin_tokens":9,"standin_marker":"r1"}`
		a := b.do(t.Context(), http.MethodPost, "/v1/chat/completions", "a1", body)
		var got wholeAnswer
		require.NoError(t, json.Unmarshal(a.Body.Bytes(), &got))
		require.Equal(t, "r1 1 2 ", got.Choices[0].Message.Content)
		require.Equal(t, "length", got.Choices[0].FinishReason)
		require.Equal(t, 3, got.Usage.CompletionTokens)
		require.Equal(t, "a1", a.Header().Get(attemptHeader))
		run := b.Journal().Attempts[0]
		require.Equal(t, journal.Finished, run.State)
		require.Equal(t, "r1", run.Marker)
		require.Equal(t, 3, run.Tokens)
		require.Equal(t, 3*DefaultStep, run.Ended.Sub(run.Started))
	})
}

// A learner's explanation streams, the connection breaks after two events, and the
// router asks for the rest. The learner must see no event twice and none missing.
func TestBrokenStreamIsResumed(t *testing.T) {
	const body = `{"model":"m","prompt":"p","stream":true,"standin_tokens":5}`
	inBubble(t, Options{}, func(t *testing.T, b bench) {
		unbroken := b.do(t.Context(), http.MethodPost, "/v1/completions", "same", body).Body.String()
		b.SetFaults(Faults{BreakAfter: 2})
		first := b.do(t.Context(), http.MethodPost, "/v1/completions", "a1", body)
		require.True(t, first.broken)
		rest := b.do(t.Context(), http.MethodGet, "/v1/streams/a1?from=2", "", "")
		require.False(t, rest.broken)
		got := strings.ReplaceAll(first.Body.String()+rest.Body.String(), "cmpl-a1", "cmpl-same")
		require.Equal(t, unbroken, got)
		require.True(t, strings.HasSuffix(got, "id: 6\ndata: [DONE]\n\n"))
		require.Contains(t, got, `"usage":{"prompt_tokens":1,"completion_tokens":5,"total_tokens":6}`)
	})
}

func TestSlotsAreFilledInOrderOfArrival(t *testing.T) {
	inBubble(t, Options{Slots: 1, Step: time.Second}, func(t *testing.T, b bench) {
		first := b.start(t.Context(), "a1", `{"prompt":"p","standin_tokens":2}`)
		second := b.start(t.Context(), "a2", `{"prompt":"p","standin_tokens":2}`)
		third := b.start(t.Context(), "a3", `{"prompt":"p","standin_tokens":2}`)
		require.Len(t, b.states(), 1, "what waits has not run")
		<-first
		<-second
		<-third
		runs := b.Journal().Attempts
		for i, want := range []string{"a1", "a2", "a3"} {
			require.Equal(t, want, runs[i].Attempt)
		}
		require.Equal(t, runs[0].Ended, runs[1].Started)
		require.Equal(t, runs[1].Ended, runs[2].Started)
	})
}

func TestCancel(t *testing.T) {
	inBubble(t, Options{Slots: 1}, func(t *testing.T, b bench) {
		runs := b.start(t.Context(), "a1", `{"prompt":"p","stream":true,"standin_tokens":1000}`)
		waits := b.start(t.Context(), "a2", `{"prompt":"p"}`)
		for _, id := range []string{"a2", "a1"} {
			require.Equal(t, http.StatusOK, b.do(t.Context(), http.MethodDelete, "/v1/streams/"+id, "", "").Code)
		}
		require.True(t, (<-runs).broken, "a cancelled stream must not look whole")
		require.True(t, (<-waits).broken)
		require.Equal(t, map[string]journal.State{"a1": journal.Cancelled}, b.states())
	})
}

// A captain's phone drops out of the network in mid-answer. The router may resume for
// the grace time; afterwards the engine must not generate for nobody.
func TestAttemptWithoutConnectionIsCancelledAfterGrace(t *testing.T) {
	inBubble(t, Options{Step: 10 * time.Millisecond}, func(t *testing.T, b bench) {
		ctx, hangUp := context.WithCancel(t.Context())
		gone := b.start(ctx, "a1", `{"prompt":"p","stream":true,"standin_tokens":8000}`)
		hangUp()
		<-gone
		ctx, hangUp = context.WithTimeout(t.Context(), defaultGrace/2)
		defer hangUp()
		b.do(ctx, http.MethodGet, "/v1/streams/a1?from=0", "", "")
		<-time.After(defaultGrace * 3 / 4)
		synctest.Wait()
		require.Equal(t, journal.Running, b.states()["a1"], "the resumed stream started the grace anew")
		<-time.After(defaultGrace / 2)
		synctest.Wait()
		require.Equal(t, journal.Cancelled, b.states()["a1"])
	})
}

// One poisoned contract draft crashes the engine, and others are in the same batch.
// Their callers must see broken connections, and the journal must still know who ran.
func TestCrashBreaksAllOffAndKeepsTheJournal(t *testing.T) {
	var revive time.Duration
	options := Options{Slots: 2, OnCrash: func(d time.Duration) { revive = d }}
	inBubble(t, options, func(t *testing.T, b bench) {
		b.SetFaults(Faults{CrashOn: "poison"})
		innocent := b.start(t.Context(), "a1", `{"prompt":"p","standin_tokens":50}`)
		poisoned := b.start(t.Context(), "a2", `{"prompt":"some poison","stream":true}`)
		waits := b.start(t.Context(), "a3", `{"prompt":"p"}`)
		require.True(t, (<-innocent).broken)
		require.True(t, (<-poisoned).broken)
		require.True(t, (<-waits).broken)
		require.Equal(t, defaultRevive, revive)
		require.Equal(t, map[string]journal.State{"a1": journal.Crashed, "a2": journal.Crashed}, b.states())
		require.True(t, b.do(t.Context(), http.MethodGet, "/healthz", "", "").broken)
		<-time.After(revive)
		require.Equal(t, http.StatusOK, b.do(t.Context(), http.MethodGet, "/healthz", "", "").Code)
		require.Equal(t, http.StatusNotFound, b.do(t.Context(), http.MethodGet, "/v1/streams/a1?from=0", "", "").Code)
	})
}

func TestAttemptIsNotRunTwice(t *testing.T) {
	inBubble(t, Options{}, func(t *testing.T, b bench) {
		<-b.start(t.Context(), "a1", `{"prompt":"p","standin_tokens":1}`)
		require.Equal(t, http.StatusConflict, (<-b.start(t.Context(), "a1", `{"prompt":"p"}`)).Code)
		require.Len(t, b.Journal().Attempts, 1)
	})
}
