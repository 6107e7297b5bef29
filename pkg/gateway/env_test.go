package gateway

import (
	"context"
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

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// testDialect is a Dialect with header names for tests.
type testDialect struct {
	// asksLives has the gateway ask upstreams which process they are.
	asksLives bool
}

func (testDialect) IDHeader() string { return "X-Id" }

func (testDialect) ProofHeader() string { return "X-Proof" }

func (testDialect) DecodeRequest(h http.Header) RequestMetadata {
	a := RequestMetadata{RequestID: h.Get("X-Id"), APIKey: h.Get("X-Key")}
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		a.Deadline = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.ParseInt(h.Get("X-After"), 10, 64); err == nil {
		a.LastEventID, a.Resumes = n, true
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

func (testDialect) UpstreamHeader(h http.Header, e AttemptMetadata) http.Header {
	out := h.Clone()
	out.Del("X-Key")
	out.Del("Content-Length")
	out.Set("X-Org", e.Organisation)
	out.Set("X-Instance", string(e.Instance))
	out.Set("X-Left", strconv.FormatInt(e.TimeLeft.Milliseconds(), 10))
	if e.FetchFrom != "" {
		out.Set("X-Fetch", e.FetchFrom)
	}
	if e.Resumes {
		out.Set("X-After", strconv.FormatInt(e.LastEventID, 10))
	}
	return out
}

func (testDialect) Notice(_ int, h http.Header) upstream.Notice {
	backoff, _ := time.ParseDuration(h.Get("X-Backoff"))
	return upstream.Notice{Leaving: h.Get("X-Leaving") != "", Backoff: backoff}
}

// LifeCheck has upstreams of tests asked at /life, if a test wants that.
func (d testDialect) LifeCheck() forward.LifeCheck {
	if !d.asksLives {
		return forward.LifeCheck{}
	}
	return forward.LifeCheck{
		URI:      lifePath,
		Header:   func(id upstream.ID) http.Header { return http.Header{"X-Instance": {string(id)}} },
		IsReport: func(int, []byte) bool { return true },
		Denies: func(in *upstream.Instance, _ int, _ http.Header, body []byte) bool {
			return string(body) != string(in.ID)
		},
	}
}

// lifePath is where upstreams of tests tell their ID.
const lifePath = "/life"

func (testDialect) NotRun(_ int, h http.Header) bool { return h.Get("X-Not-Run") != "" }

type singlePeer struct{}

func (singlePeer) Count() int { return 1 }

func (singlePeer) NoteRequest(time.Time) {}

// testEnv is a gateway in front of fake upstreams.
type testEnv struct {
	t       testing.TB
	gateway *Gateway
	catalog *catalog.Catalog
	server  *httptest.Server
	client  *http.Client
	warmup  *warmup.Gate
	streams *affinity.Tracker

	// instances are the upstreams that were started, servers the servers behind them.
	instances []upstream.Instance
	servers   []*httptest.Server

	// overloaded makes the gateway refuse requests for lack of CPU.
	overloaded bool
	cpuStarved bool

	mu       sync.Mutex
	received []*http.Request // by the upstreams
}

func newTestEnv(t testing.TB) *testEnv { return newTestEnvOf(t, testDialect{}) }

func newTestEnvOf(t testing.TB, dialect testDialect) *testEnv {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	env := &testEnv{t: t, catalog: catalog.New(logger)}
	env.gateway = New(Settings{PrefillTokensPerMs: 50, FirstEvent: time.Millisecond, SlotTurn: time.Millisecond,
		RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second}, Dependencies{
		Catalog: env.catalog, Dialect: dialect, Pools: forward.NewPools("X-Id"), Health: upstream.NewHealth(),
		Loads: placement.NewLoadTracker(), PrefixIndex: placement.NewKVIndex(), Shares: placement.NewShares(), Inflows: placement.NewInflows(), Estimator: pace.NewEstimator(),
		Warmup:     env.newWarmupGate(),
		Quarantine: NewQuarantine(),
		Streams:    env.newTracker(logger),
		Peers:      singlePeer{}, ConnectionPressure: func() bool { return false }, Overloaded: func() bool { return env.overloaded }, CPUStarved: func() bool { return env.cpuStarved }, Log: logger,
	})
	env.server = httptest.NewUnstartedServer(env.gateway)
	env.server.Config.ConnContext = WithConn
	env.server.Start()
	t.Cleanup(env.server.Close)
	env.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(env.client.CloseIdleConnections)
	env.catalog.Adopt(env.config(), "test")
	return env
}

// newWarmupGate returns a warm-up gate for a router that is the only one.
func (env *testEnv) newWarmupGate() *warmup.Gate {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	roster := warmup.Roster{Self: "r", Routers: []string{"r"}, Known: 1}
	env.warmup = warmup.NewGate(func(time.Time) warmup.Roster { return roster }, func(time.Time) bool { return true }, logger)
	env.catalog.OnInstances(func(set *upstream.Set, known time.Time) {
		env.warmup.SetUpstreams(set, time.Now())
		env.streams.SetUpstreams(set, known, time.Now())
		env.gateway.UpdateUpstreams(set, time.Now())
	})
	return env.warmup
}

// aloneView is that of a router which is the only one and whose list is current.
type aloneView struct{}

func (aloneView) ListRevision() int64                  { return 1 }
func (aloneView) ListAge(time.Time) time.Duration      { return 0 }
func (aloneView) LongestStream() (time.Duration, bool) { return 0, true }
func (aloneView) Peers(now time.Time) affinity.PeerView {
	return affinity.PeerView{Floor: 1, Newest: 1, Complete: true, HeardAt: now, Current: true}
}

// newTracker returns the tracker of a router that is the first one of its fleet.
func (env *testEnv) newTracker(l log.Interface) *affinity.Tracker {
	env.streams = affinity.NewTracker(aloneView{}, func(context.Context, affinity.Question) affinity.Reply { return affinity.Reply{} }, time.Now(), l)
	env.streams.MarkFounded()
	return env.streams
}

func (env *testEnv) config() *routing.Config {
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

// startUpstreams starts one instance for each handler; the first one is preferred.
func (env *testEnv) startUpstreams(handlers ...http.HandlerFunc) {
	var list []upstream.Instance
	for i, h := range handlers {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			env.mu.Lock()
			env.received = append(env.received, r.Clone(r.Context()))
			env.mu.Unlock()
			rw.Header().Set("X-Id", r.Header.Get("X-Id"))
			rw.Header().Set("X-Proof", "ran")
			h(rw, r)
		}))
		env.servers = append(env.servers, s)
		env.t.Cleanup(s.Close)
		env.t.Cleanup(s.CloseClientConnections)
		zone := "far"
		if i == 0 {
			zone = env.gateway.settings.Load().Zone
		}
		list = append(list, upstream.Instance{ID: upstream.ID("i" + strconv.Itoa(i)), Service: "app", Addr: s.Listener.Addr().String(),
			Zone: zone, Slots: 100, State: upstream.Ready})
	}
	env.instances = list
	env.preferFirst()
	env.catalog.Replace(list, 1, time.Now(), "test")
}

// preferFirst makes the gateway choose the first instance, as the others have failed before.
func (env *testEnv) preferFirst() {
	for i := 1; i < len(env.instances); i++ {
		env.gateway.health.Observe(env.instances[i].Life(), upstream.Failed, time.Now())
	}
}

func (env *testEnv) newRequest(path string, header ...string) *http.Request {
	req, err := http.NewRequest(http.MethodGet, env.server.URL+path, nil)
	require.NoError(env.t, err)
	req.Host = "h"
	req.Header.Set("X-Id", "request-1")
	req.Header.Set("X-Key", "k")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (env *testEnv) get(path string, header ...string) (int, string, http.Header) {
	resp, err := env.client.Do(env.newRequest(path, header...))
	require.NoError(env.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(env.t, err)
	return resp.StatusCode, string(data), resp.Header
}

func (env *testEnv) upstreamRequests() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return len(env.received)
}

// lastReceived returns the newest request that reached an upstream.
func (env *testEnv) lastReceived() *http.Request {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.received[len(env.received)-1]
}

func respondWith(text string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, text) }
}

func respondStatus(status int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(status) }
}

// respondRaw sends text unchanged and closes the connection.
func respondRaw(text string) http.HandlerFunc {
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

// emptyCatalog returns a catalog without a configuration.
func (env *testEnv) emptyCatalog() *catalog.Catalog {
	return catalog.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
}

func newEngine(slots int) *routing.Engine { return &routing.Engine{Slots: slots, KVCapacity: 10_000} }

// busyFirstInstance returns loads of other routers that take the first instance ten seconds to prefill.
func busyFirstInstance() map[upstream.Life]placement.Load {
	return map[upstream.Life]placement.Load{{ID: "i0"}: {Running: 1, PrefillTokens: 500_000}}
}
