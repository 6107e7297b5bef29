package dispatch

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func TestStreamIsRelayedWhole(t *testing.T) {
	text := eventsText(0, 40) + "id: 40\ndata: {\"usage\":{\"completion_tokens\": 77}}\n\n" + doneText
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, text) })
	r, slot, sink := do(t, up.URL, streamCall(true))
	requireComplete(t, r)
	checkEqual(t, "verdict", verdict.Ran, r.Verdict)
	checkEqual(t, "relayed stream", text, sink.String())
	checkEqual(t, "tokens", 77, r.Tokens)
	checkEqual(t, "cost", wire.Units(77), r.Cost)
	checkEqual(t, "outcome", []wire.Outcome{wire.OutcomeServed}, slot.outcomes)
	checkEqual(t, "progress reported", true, len(slot.progress) > 0)
	checkEqual(t, "starts", 1, slot.starts)
}

// Guards against streams that are treated as broken because their lines end in CR or the last LF is
// missing.
func TestStreamsWithAnyLineEndingAreRelayedWhole(t *testing.T) {
	for _, end := range []string{"\r\n", "\r"} {
		text := strings.ReplaceAll(eventsText(0, 10)+doneText, "\n", end)
		for _, sent := range []string{text, strings.TrimSuffix(text, "\n")} {
			up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, sent) })
			r, _, sink := do(t, up.URL, streamCall(true))
			requireComplete(t, r)
			checkEqual(t, "relayed stream", sent, sink.String())
		}
	}
}

// The connection between router and engine breaks in the middle of an event. The engine continues and
// repeats some events in the resumed part. The caller must receive each event once and in order, and
// the end marker.
func TestBrokenStreamIsResumed(t *testing.T) {
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			sendEvents(w, r, eventsText(0, 5)+"id: 5\ndata: {\"n\"")
			panic(http.ErrAbortHandler)
		case r.URL.Query().Get("from") == "5":
			sendEvents(w, r, eventsText(3, 8))
			panic(http.ErrAbortHandler)
		default:
			sendEvents(w, r, eventsText(8, 10)+doneText)
		}
	})
	r, _, sink := do(t, up.URL, streamCall(true))
	requireComplete(t, r)
	checkEqual(t, "relayed stream", eventsText(0, 10)+doneText, sink.String())
	checkEqual(t, "tokens", 10, r.Tokens)
}

// A stream breaks in the middle and its upstream can't resume it. The attempt must end as
// may-have-run and report that the response has started, so that the caller's connection is aborted.
func TestBrokenStreamWithoutResume(t *testing.T) {
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sendEvents(w, r, eventsText(0, 5))
		panic(http.ErrAbortHandler)
	})
	r, slot, sink := do(t, up.URL, streamCall(false))
	checkEqual(t, "failed", true, r.Err != nil)
	checkEqual(t, "response started", true, r.ResponseStarted)
	checkEqual(t, "verdict", verdict.MayHaveRun, r.Verdict)
	checkEqual(t, "relayed stream", eventsText(0, 5), sink.String())
	checkEqual(t, "outcome", []wire.Outcome{wire.OutcomeDied}, slot.outcomes)
}

// An engine crashes during a request and restarts within the resume backoff, without any state of the
// attempt. The outcome must be that the engine died during that request.
func TestResumeAtRestartedEngine(t *testing.T) {
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			sendEvents(w, r, eventsText(0, 2))
			panic(http.ErrAbortHandler)
		}
		echoAttempt(w, r)
		w.WriteHeader(http.StatusNotFound)
	})
	r, _, _ := do(t, up.URL, streamCall(true))
	checkEqual(t, "verdict", verdict.MayHaveRun, r.Verdict)
	checkEqual(t, "outcome", wire.OutcomeDied, r.Outcome)
}

// The caller disconnects in the middle of a stream. The engine would continue to generate, so the
// attempt must be canceled there before its slot is released.
func TestCallerGoneCancels(t *testing.T) {
	cancelled := make(chan string, 1)
	posted := make(chan string, 1)
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- strings.TrimPrefix(r.URL.Path, "/v1/streams/")
			echoAttempt(w, r)
			return
		}
		posted <- r.Header.Get(HeaderAttempt)
		sendEvents(w, r, eventsText(0, 3))
		<-r.Context().Done()
	})
	d := New(testLimits())
	defer d.Close()
	slot := &fakeSlot{url: up.URL}
	r := d.Do(context.Background(), slot, streamCall(true), &fakeSink{failAt: 2})
	checkEqual(t, "outcome", wire.OutcomeCanceled, r.Outcome)
	checkEqual(t, "verdict", verdict.MayHaveRun, r.Verdict)
	checkEqual(t, "canceled attempt", <-posted, <-cancelled)
}
