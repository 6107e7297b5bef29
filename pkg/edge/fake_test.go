package edge

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const testKey = "key-of-org-a"

// fakeCatalog is a catalog with one organisation, one model and one service.
type fakeCatalog struct{ maxQueued int }

func (c fakeCatalog) Current() Catalog { return c }

func (c fakeCatalog) Authenticate(h [32]byte) (Org, bool) {
	return Org{Name: "a", MaxQueued: c.maxQueued}, h == sha256.Sum256([]byte(testKey))
}

func (fakeCatalog) Model(name string) (Route, bool) { return Route{Pool: "llm"}, name == "m" }

func (fakeCatalog) Service(name string) (Route, bool) {
	return Route{Pool: "svc", AtMostOnce: []string{http.MethodPost}, CallUnits: 16}, name == "records"
}

func (fakeCatalog) Models() []string    { return []string{"m"} }
func (fakeCatalog) Resumes(string) bool { return true }

type openGate struct{}

func (openGate) Admit() error { return nil }

type fakeEntries struct{}

func (fakeEntries) For(string, string) ([]string, time.Duration) {
	return []string{"127.0.0.1:9"}, 30 * time.Second
}

// fakeScheduler grants each URL in turn, then the last one again and again.
type fakeScheduler struct {
	mu      sync.Mutex
	urls    []string
	err     error
	gotten  []sched.Request
	done    []wire.Outcome
	hold    chan struct{} // when set, Acquire waits for it
	waiting chan struct{} // told when Acquire begins to wait
}

func (s *fakeScheduler) Acquire(ctx context.Context, r sched.Request) (sched.Slot, error) {
	if s.hold != nil {
		s.waiting <- struct{}{}
		select {
		case <-s.hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gotten = append(s.gotten, r)
	if s.err != nil {
		return nil, s.err
	}
	url := s.urls[0]
	if len(s.urls) > 1 {
		s.urls = s.urls[1:]
	}
	return &fakeSlot{scheduler: s, url: url}, nil
}

type fakeSlot struct {
	scheduler *fakeScheduler
	url       string
}

func (s *fakeSlot) Upstream() string  { return s.url }
func (s *fakeSlot) URL() string       { return s.url }
func (*fakeSlot) Start() bool         { return true }
func (*fakeSlot) Progress(wire.Units) {}

func (s *fakeSlot) Done(o wire.Outcome, _ wire.Units, _, _ time.Duration) {
	s.scheduler.mu.Lock()
	defer s.scheduler.mu.Unlock()
	s.scheduler.done = append(s.scheduler.done, o)
}

type fixture struct {
	edge      *Edge
	scheduler *fakeScheduler
	url       string
}

// newFixture starts an edge in front of upstream; change may alter its configuration.
func newFixture(t testing.TB, upstream http.Handler, change func(*Config)) *fixture {
	t.Helper()
	up := httptest.NewServer(upstream)
	t.Cleanup(up.Close)
	scheduler := &fakeScheduler{urls: []string{up.URL}}
	c := Config{
		Limits: DefaultLimits(), Source: fakeCatalog{}, Gate: openGate{}, Scheduler: scheduler,
		Dispatcher: dispatch.New(dispatch.DefaultLimits()), Entries: fakeEntries{},
	}
	if change != nil {
		change(&c)
	}
	e := New(c)
	s := httptest.NewUnstartedServer(nil)
	s.Config = e.Server()
	s.Listener = e.Listener(s.Listener)
	s.Start()
	t.Cleanup(func() { s.Close(); c.Dispatcher.Close() })
	return &fixture{edge: e, scheduler: scheduler, url: s.URL}
}

func (f *fixture) request(t testing.TB, method, path, body string, header ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	return r
}

func send(t testing.TB, r *http.Request) *http.Response {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func same(t testing.TB, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// engine answers completions as a model engine does.
func engine(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(dispatch.HeaderAttempt, r.Header.Get(dispatch.HeaderAttempt))
	body, _ := io.ReadAll(r.Body)
	if !strings.Contains(string(body), `"stream":true`) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(plainAnswer))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte(streamedAnswer))
}

// refusals counts refusals of a draining router.
type refusals struct {
	noObserver
	draining atomic.Int32
}

func (r *refusals) Refused(_ string, _ wire.Class, code verdict.Code) {
	if code == verdict.CodeDraining {
		r.draining.Add(1)
	}
}
