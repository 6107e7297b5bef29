package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// plainDialect is a dialect with names of the test's own.
type plainDialect struct{}

func (plainDialect) IDHeader() string { return "X-Id" }

func (plainDialect) Ask(h http.Header) Ask {
	a := Ask{RequestID: h.Get("X-Id"), Key: h.Get("X-Key")}
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		a.Deadline = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.ParseInt(h.Get("X-After"), 10, 64); err == nil {
		a.After, a.Resumes = n, true
	}
	if n, err := strconv.Atoi(h.Get("X-Tokens")); err == nil {
		a.Prompt = &prompt.Prompt{Input: n, MaxOutput: 10, Parts: []prompt.Part{{ID: "own", Tokens: n}}}
	}
	if n, err := strconv.Atoi(h.Get("X-Shared")); err == nil && a.Prompt != nil {
		a.Prompt.Input += n
		a.Prompt.Parts = append([]prompt.Part{{ID: "shared", Tokens: n}}, a.Prompt.Parts...)
	}
	return a
}

func (plainDialect) Outgoing(h http.Header, e Errand) http.Header {
	out := h.Clone()
	out.Del("X-Key")
	out.Del("Content-Length")
	out.Set("X-Org", e.Organisation)
	out.Set("X-Instance", string(e.Instance))
	out.Set("X-Left", strconv.FormatInt(e.Left.Milliseconds(), 10))
	if e.FetchFrom != "" {
		out.Set("X-Fetch", e.FetchFrom)
	}
	if e.Resumes {
		out.Set("X-After", strconv.FormatInt(e.After, 10))
	}
	return out
}

func (plainDialect) NotRun(_ int, h http.Header) bool { return h.Get("X-Not-Run") != "" }

type onePeer struct{}

func (onePeer) Count() int { return 1 }

func (onePeer) NoteRequest(time.Time) {}

// world is a gateway before fake upstreams.
type world struct {
	t       testing.TB
	gateway *Gateway
	catalog *catalog.Catalog
	front   *httptest.Server
	client  *http.Client
	warmup  *warmup.Gate

	// list is the upstreams in place.
	list []upstream.Instance

	// overrun makes the gateway refuse for lack of processor.
	overrun bool
	late    bool

	mu   sync.Mutex
	seen []*http.Request // as upstreams saw them
}

func newWorld(t testing.TB) *world {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	w := &world{t: t, catalog: catalog.New(quiet)}
	w.gateway = New(Settings{PrefillTokensPerMs: 50, FirstEvent: time.Millisecond, SlotTurn: time.Millisecond,
		RepeatRatio: 1, RepeatSlack: 100, RepeatWindow: 10 * time.Second}, Parts{
		Catalog: w.catalog, Dialect: plainDialect{}, Pools: forward.NewPools("X-Id"), Health: upstream.NewHealth(),
		Ledger: placement.NewLoadTracker(), Holdings: placement.NewKVIndex(), Shares: placement.NewShares(), Inflows: placement.NewInflows(), Paces: pace.NewEstimator(),
		Warmup:   w.cold(),
		Suspects: quarantine.New(quarantine.Config{Limit: CrashLimit, FadeAfter: SuspectFor}),
		Peers:    onePeer{}, Crowded: func() bool { return false }, Overrun: func() bool { return w.overrun }, Late: func() bool { return w.late }, Log: quiet,
	})
	w.front = httptest.NewUnstartedServer(w.gateway)
	w.front.Config.ConnContext = WithConn
	w.front.Start()
	t.Cleanup(w.front.Close)
	w.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(w.client.CloseIdleConnections)
	w.catalog.Adopt(w.config(), "test")
	return w
}

// cold is a gate for cold upstreams of a router that is alone.
func (w *world) cold() *warmup.Gate {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	alone := warmup.Roster{Self: "r", Routers: []string{"r"}, Known: 1}
	w.warmup = warmup.NewGate(func(time.Time) warmup.Roster { return alone }, func(time.Time) bool { return true }, quiet)
	w.catalog.Follow(func(set *upstream.Set, _ time.Time) { w.warmup.Follow(set, time.Now()) })
	return w.warmup
}

func (w *world) config() *routing.Config {
	route := func(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Timeout: 5 * time.Second,
			Objective: time.Second, Targets: []routing.Target{{Service: "app", Weight: 1}}, Resumable: resumable, Public: name == "public"}
	}
	return &routing.Config{Version: 1,
		Routes: []routing.Route{
			route("safe", routing.Idempotent, 2, false), route("once", routing.AtMostOnce, 2, false),
			route("stream", routing.Stream, 2, false), route("resume", routing.Stream, 2, true), route("public", routing.Idempotent, 1, false),
		},
		Services:      []routing.Service{{Name: "app"}},
		Organisations: []routing.Organisation{{Name: "org", Keys: []string{"k"}}},
		Limits:        routing.Limits{TokensPerSecond: 1e6},
	}
}

// upstreams puts one instance for each handler in place; the first one is preferred.
func (w *world) upstreams(handlers ...http.HandlerFunc) {
	var list []upstream.Instance
	for i, h := range handlers {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.mu.Lock()
			w.seen = append(w.seen, r.Clone(r.Context()))
			w.mu.Unlock()
			rw.Header().Set("X-Id", r.Header.Get("X-Id"))
			h(rw, r)
		}))
		w.t.Cleanup(s.Close)
		w.t.Cleanup(s.CloseClientConnections)
		zone := "far"
		if i == 0 {
			zone = w.gateway.settings.Load().Zone
		}
		list = append(list, upstream.Instance{ID: upstream.ID("i" + strconv.Itoa(i)), Service: "app", Addr: s.Listener.Addr().String(),
			Zone: zone, Slots: 100, State: upstream.Ready})
	}
	w.list = list
	w.handicap()
	w.catalog.Replace(list, 1, time.Now(), "test")
}

// handicap makes the order of choice certain.
func (w *world) handicap() {
	for i := 1; i < len(w.list); i++ {
		w.gateway.health.Observe(w.list[i].Life(), upstream.Failed, time.Now())
	}
}

func (w *world) request(path string, header ...string) *http.Request {
	req, err := http.NewRequest(http.MethodGet, w.front.URL+path, nil)
	require.NoError(w.t, err)
	req.Host = "h"
	req.Header.Set("X-Id", "request-1")
	req.Header.Set("X-Key", "k")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (w *world) get(path string, header ...string) (int, string, http.Header) {
	resp, err := w.client.Do(w.request(path, header...))
	require.NoError(w.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(w.t, err)
	return resp.StatusCode, string(data), resp.Header
}

func (w *world) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen)
}

func says(text string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, text) }
}

func fails(status int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(status) }
}

// breaks sends text as it is and closes the connection.
func breaks(text string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		io.WriteString(c, text)
		c.(*net.TCPConn).CloseWrite()
		c.Close()
	}
}

// catalogWithout is a catalog before its first configuration.
func (w *world) catalogWithout() *catalog.Catalog {
	return catalog.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
}

func engineOf(slots int) *routing.Engine { return &routing.Engine{Slots: slots, KVCapacity: 10_000} }

// fullLoad has the first instance read for ten seconds, for other routers.
func fullLoad() map[upstream.Life]placement.Load {
	return map[upstream.Life]placement.Load{{ID: "i0"}: {Running: 1, PrefillTokens: 500_000}}
}
