package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// Gateway serves callers' requests.
type Gateway struct {
	settings    atomic.Pointer[Settings]
	catalog     *catalog.Catalog
	dialect     Dialect
	pools       *forward.Pools
	health      *upstream.Health
	loads       *placement.LoadTracker
	prefixIndex *placement.KVIndex
	shares      *placement.Shares
	inflows     *placement.Inflows
	estimator   *pace.Estimator
	retryBudget *placement.RetryBudget
	warmup      *warmup.Gate
	quarantine  *quarantine.Book
	lostRuns    *quarantine.Watch
	streams     *affinity.Tracker
	bookings    *booking.Client
	peers       Peers
	// callTimes estimates how long calls without a prompt take.
	callTimes          pace.CallTimes
	connectionPressure func() bool
	overloaded         func() bool
	cpuStarved         func() bool
	log                log.Interface
	logBudget          logBudget
	// excessLog, noticeLog and backoffLog limit the lines about responses that exceed a bound, unreadable
	// notices and requested backoffs.
	excessLog, noticeLog, backoffLog lineLimiter
	metrics                          *requestMetrics
	// disconnects cancels the requests of callers that close their connections.
	disconnects *disconnectWatcher

	// state is serving, draining or terminating.
	state atomic.Int32
	// drainDeadline is when a draining process ends; nil until draining starts. It is compared by
	// the monotonic clock, as the wall clock may jump while the process drains.
	drainDeadline atomic.Pointer[time.Time]
	active        atomic.Int64
	// activeStreams is the number of streams that are being relayed.
	activeStreams atomic.Int64
}

// States of a gateway.
const (
	serving int32 = iota
	// draining: requests are still served, and connections are closed after the response.
	draining
	// terminating: requests that may not finish before the drain deadline are refused.
	terminating
)

// Dependencies are the components of a Gateway.
type Dependencies struct {
	Catalog     *catalog.Catalog
	Dialect     Dialect
	Pools       *forward.Pools
	Health      *upstream.Health
	Loads       *placement.LoadTracker
	PrefixIndex *placement.KVIndex
	Shares      *placement.Shares
	Inflows     *placement.Inflows
	Estimator   *pace.Estimator
	// Warmup limits the requests that cold upstreams get.
	Warmup     *warmup.Gate
	Quarantine *quarantine.Book
	// Streams knows at which software version streams began.
	Streams *affinity.Tracker
	// Bookings asks for turns at the engines; nil for none.
	Bookings *booking.Client
	Peers    Peers
	// ConnectionPressure reports whether the router is short of connections or CPU, so that callers'
	// connections should not be kept alive.
	ConnectionPressure func() bool
	// Overloaded reports whether the router has so little CPU that any request would be late.
	Overloaded func() bool
	// CPUStarved reports whether the router gets less CPU than it needs, so that its timers expire
	// before it sees that others have answered.
	CPUStarved func() bool
	Log        log.Interface
	// Metrics receives counters and histograms.
	Metrics tally.Scope
}

// New returns a gateway in the serving state.
func New(s Settings, d Dependencies) *Gateway {
	g := &Gateway{
		catalog: d.Catalog, dialect: d.Dialect, pools: d.Pools, health: d.Health,
		loads: d.Loads, prefixIndex: d.PrefixIndex, shares: d.Shares, inflows: d.Inflows, estimator: d.Estimator, warmup: d.Warmup, quarantine: d.Quarantine, lostRuns: quarantine.NewWatch(), streams: d.Streams, bookings: d.Bookings, peers: d.Peers, connectionPressure: d.ConnectionPressure, overloaded: d.Overloaded, cpuStarved: d.CPUStarved, log: d.Log,
		metrics:     newRequestMetrics(d.Metrics),
		retryBudget: new(placement.RetryBudget),

		disconnects: newDisconnectWatcher(d.Log),
	}
	g.pools.OnNotices(forward.Notices{Decode: func(status int, h http.Header) upstream.Notice { return g.dialect.Notice(status, h) }, Observe: g.observeNotice})
	g.UpdateSettings(s)
	return g
}

// UpdateSettings replaces the settings; it may be called while requests are served.
func (g *Gateway) UpdateSettings(s Settings) {
	g.settings.Store(&s)
	g.retryBudget.Set(s.RetryRatio, s.RetrySlack, s.RetryWindow)
}

// Ready reports whether callers should be sent to this router.
func (g *Gateway) Ready() bool {
	return g.state.Load() == serving && g.catalog.Complete() && g.streams.Settled()
}

// Drain starts draining: the gateway is no longer ready, but still serves requests. The process
// ends at end.
func (g *Gateway) Drain(end time.Time) {
	g.drainDeadline.Store(&end)
	g.state.CompareAndSwap(serving, draining)
}

// RefuseLateRequests makes the gateway refuse new requests that may not finish before the end that
// Drain has set.
func (g *Gateway) RefuseLateRequests() { g.state.Store(terminating) }

const (
	// usualMaxCallTime is the longest time that a call of a plain service usually takes.
	usualMaxCallTime = 600 * time.Millisecond
	// outputTokenTime is the time that an engine under load takes per output token.
	outputTokenTime = 20 * time.Millisecond
)

// finishesBeforeShutdown reports whether a draining gateway can still complete r.
//
// Guard: callers keep the address of a draining router for some seconds. A stream that is
// accepted then and aborted at shutdown is lost, though it could have run elsewhere.
func (g *Gateway) finishesBeforeShutdown(r *request) bool {
	duration := usualMaxCallTime
	if p := r.meta.Prompt; p != nil {
		duration = r.route.Objective + time.Duration(p.MaxOutput)*outputTokenTime
	}
	return r.start.Add(duration).Before(*g.drainDeadline.Load())
}

// Active returns the number of requests that are being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

func (g *Gateway) configuredSpeed() placement.Speed {
	s := g.settings.Load()
	return placement.Speed{TokensPerMs: s.PrefillTokensPerMs, FirstEvent: s.FirstEvent, SlotTurn: s.SlotTurn}
}

// responseDeadline returns the time by which a request that arrived at start gets its final response.
func responseDeadline(start time.Time, timeout, deadline time.Duration) time.Time {
	remaining := timeout
	if deadline > 0 && (remaining <= 0 || deadline < remaining) {
		remaining = deadline
	}
	if remaining <= 0 {
		remaining = DefaultTimeout
	}
	return start.Add(remaining)
}

// DefaultTimeout applies if neither the route nor the caller sets one.
const DefaultTimeout = 60 * time.Second
