package dispatch

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

type fakeSlot struct {
	url      string
	expired  bool
	mu       sync.Mutex
	starts   int
	progress []wire.Units
	outcomes []wire.Outcome
}

func (s *fakeSlot) Upstream() string { return "u1" }
func (s *fakeSlot) URL() string      { return s.url }

func (s *fakeSlot) Start() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	return !s.expired
}

func (s *fakeSlot) Progress(u wire.Units) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress = append(s.progress, u)
}

func (s *fakeSlot) Done(o wire.Outcome, _ wire.Units, _, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}

type fakeSink struct {
	bytes.Buffer
	begins int
	failAt int // fails the write with this number; 0 never
	writes int
}

func (s *fakeSink) Begin(int, http.Header) { s.begins++ }

func (s *fakeSink) Write(p []byte) error {
	s.writes++
	if s.writes == s.failAt {
		return errors.New("caller gone")
	}
	s.Buffer.Write(p)
	return nil
}

func newUpstream(t testing.TB, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

func echoAttempt(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
}

func eventText(n int) string {
	return "id: " + strconv.Itoa(n) + "\ndata: {\"n\":" + strconv.Itoa(n) + "}\n\n"
}

func eventsText(from, to int) string {
	var b bytes.Buffer
	for n := from; n < to; n++ {
		b.WriteString(eventText(n))
	}
	return b.String()
}

const doneText = "data: [DONE]\n\n"

func sendEvents(w http.ResponseWriter, r *http.Request, text string) {
	echoAttempt(w, r)
	w.Header().Set("Content-Type", eventStream)
	_, _ = w.Write([]byte(text))
	_ = http.NewResponseController(w).Flush()
}

func testLimits() Limits {
	l := DefaultLimits()
	l.ResumeBackoff = time.Millisecond
	return l
}

func streamCall(resumes bool) *Call {
	return &Call{
		Method: http.MethodPost, Path: "/v1/completions", Header: http.Header{}, Body: []byte(`{}`),
		Model: true, Stream: true, CanResume: func(string) bool { return resumes },
	}
}

func do(t testing.TB, url string, c *Call) (Result, *fakeSlot, *fakeSink) {
	t.Helper()
	d := New(testLimits())
	t.Cleanup(d.Close)
	slot, sink := &fakeSlot{url: url}, new(fakeSink)
	r := d.Do(context.Background(), slot, c, sink)
	return r, slot, sink
}

func checkEqual(t testing.TB, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func requireComplete(t testing.TB, r Result) {
	t.Helper()
	if r.Err != nil {
		t.Fatalf("response is incomplete: %v", r.Err)
	}
}
