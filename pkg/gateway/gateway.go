package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/routing"
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
	// bodies accounts for the request bodies that are held.
	bodies *buffers.Budget
	// callTimes estimates how long calls without a prompt take.
	callTimes pace.CallTimes
	// answerTimes holds how long requests without a prompt take at upstreams, answers included, by route.
	answerTimes        pace.Longest
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

	// state is serving, draining, terminating or closing.
	state atomic.Int32
	// drainDeadline is when a draining process ends; nil until draining starts. It is compared by
	// the monotonic clock, as the wall clock may jump while the process drains.
	drainDeadline atomic.Pointer[time.Time]
	active        atomic.Int64
	// stopped is set once the process closes its callers' connections.
	stopped atomic.Bool
	reads   readEndings
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
	// closing: all new requests are refused.
	closing
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
		bodies:      buffers.NewBudget(buffers.DefaultBodyLimit),

		disconnects: newDisconnectWatcher(d.Log),
	}
	g.pools.SetProofHeader(g.dialect.ProofHeader())
	if check := g.dialect.LifeCheck(); check.URI != "" {
		g.pools.SetLifeCheck(check)
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
	g.reads.beginDrain()
	g.drainDeadline.Store(&end)
	g.state.CompareAndSwap(serving, draining)
}

// RefuseLateRequests makes the gateway refuse new requests that may not finish before the end that
// Drain has set.
func (g *Gateway) RefuseLateRequests() { g.state.Store(terminating) }

// RefuseRequests makes the gateway refuse all requests that no upstream has got yet.
func (g *Gateway) RefuseRequests() { g.state.Store(closing) }

// EndRequests gives up the requests that still run, because the process is about to end. Those whose
// response has not begun are answered, the others are broken off.
//
// Guard: a request that is accepted while the gateway drains may take longer than it usually does. A
// closed connection tells its caller less than an answer, and later.
func (g *Gateway) EndRequests() { g.disconnects.endAll() }

const (
	// usualMaxCallTime is the longest time that a call of a plain service usually takes. Calls of a route that has
	// taken longer lately are expected to do so again.
	usualMaxCallTime = 600 * time.Millisecond
	// outputTokenTime is twice the time that an engine under load takes per output token: a stream that
	// has begun can't be answered otherwise when the process ends.
	outputTokenTime = 40 * time.Millisecond
)

// tooLateFor reports whether the gateway ends before it can complete r if an upstream gets it at now.
//
// Guard: callers keep the address of a draining router for some seconds. A stream that is
// accepted then and aborted at shutdown is lost, though it could have run elsewhere. The body of a
// request may arrive long after its header, so the time at which it is sent counts.
func (g *Gateway) tooLateFor(r *request, now time.Time) bool {
	switch g.state.Load() {
	case serving, draining:
		return false
	case closing:
		return true
	}
	return !now.Add(g.expectedDuration(r, now)).Before(*g.drainDeadline.Load())
}

// expectedDuration returns how long r is expected to take if an upstream gets it at now.
//
// Guard: nothing tells how long a stream without a prompt lasts, and one that has begun can't be answered
// otherwise when the process ends. Only its deadline ends it for certain.
func (g *Gateway) expectedDuration(r *request, now time.Time) time.Duration {
	if p := r.meta.Prompt; p != nil {
		return r.route.Objective + time.Duration(p.MaxOutput)*outputTokenTime
	}
	if r.route.Kind == routing.Stream {
		return r.remaining(now)
	}
	return min(r.remaining(now), max(usualMaxCallTime, g.answerTimes.Of(r.route.Name, now)))
}

// observeAnswerTime records how long a request without a prompt, which was sent at sent, has taken.
func (g *Gateway) observeAnswerTime(r *request, sent time.Time) {
	if now := time.Now(); r.meta.Prompt == nil && !r.callerGone() && !r.canceler.stopped.Load() {
		g.answerTimes.Observe(r.route.Name, now.Sub(sent), now)
	}
}

// Bodies returns the account of the request bodies that are held.
func (g *Gateway) Bodies() *buffers.Budget { return g.bodies }

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
