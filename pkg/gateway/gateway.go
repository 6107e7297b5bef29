package gateway

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

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
	settings atomic.Pointer[Settings]
	catalog  *catalog.Catalog
	dialect  Dialect
	pools    *forward.Pools
	health   *upstream.Health
	ledger   *placement.LoadTracker
	holdings *placement.KVIndex
	shares   *placement.Shares
	inflows  *placement.Inflows
	paces    *pace.Estimator
	budget   *placement.RetryBudget
	warmup   *warmup.Gate
	suspects *quarantine.List
	peers    Peers
	// calls tells how long calls without a prompt take.
	calls   pace.CallTimes
	crowded func() bool
	overrun func() bool
	late    func() bool
	log     log.Interface
	lines   lineBudget
	meter   *meter
	// departures hears of callers that close their connections.
	departures *departures

	// state is where the router stands between start and end.
	state atomic.Int32
	// end is when a leaving process ends; nil before it leaves. It is compared by the steady
	// clock: the time of day may jump while the process leaves.
	end    atomic.Pointer[time.Time]
	active atomic.Int64
	// relaying is the number of streams that are being relayed.
	relaying atomic.Int64
}

// States of a gateway.
const (
	serving int32 = iota
	// closing: requests are still served, each on its last connection.
	closing
	// closed: requests that might not end in time are refused.
	closed
)

// Parts are what a Gateway is made of.
type Parts struct {
	Catalog  *catalog.Catalog
	Dialect  Dialect
	Pools    *forward.Pools
	Health   *upstream.Health
	Ledger   *placement.LoadTracker
	Holdings *placement.KVIndex
	Shares   *placement.Shares
	Inflows  *placement.Inflows
	Paces    *pace.Estimator
	// Warmup bounds what cold upstreams get.
	Warmup   *warmup.Gate
	Suspects *quarantine.List
	Peers    Peers
	// Crowded reports whether connections of callers should not be kept.
	Crowded func() bool
	// Overrun reports whether the router gets so little processor that requests are late in
	// any case.
	Overrun func() bool
	// Late reports whether the router gets less processor than it needs, so that its timers
	// run out before others could have answered.
	Late func() bool
	Log  log.Interface
	// Metrics takes counters and histograms.
	Metrics tally.Scope
}

// New returns a gateway that serves.
func New(s Settings, p Parts) *Gateway {
	g := &Gateway{
		catalog: p.Catalog, dialect: p.Dialect, pools: p.Pools, health: p.Health,
		ledger: p.Ledger, holdings: p.Holdings, shares: p.Shares, inflows: p.Inflows, paces: p.Paces, warmup: p.Warmup, suspects: p.Suspects, peers: p.Peers, crowded: p.Crowded, overrun: p.Overrun, late: p.Late, log: p.Log,
		meter:  newMeter(p.Metrics),
		budget: new(placement.RetryBudget),

		departures: newDepartures(p.Log),
	}
	g.Tune(s)
	return g
}

// Tune puts other settings in force, also while requests are served.
func (g *Gateway) Tune(s Settings) {
	g.settings.Store(&s)
	g.budget.Set(s.RepeatRatio, s.RepeatSlack, s.RepeatWindow)
}

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool { return g.state.Load() == serving && g.catalog.Complete() }

// Leave makes the gateway unready; requests are still served. The process ends at end.
func (g *Gateway) Leave(end time.Time) {
	g.end.Store(&end)
	g.state.CompareAndSwap(serving, closing)
}

// Shut makes the gateway refuse new requests that might not be answered before its end,
// which Leave has set.
func (g *Gateway) Shut() { g.state.Store(closed) }

const (
	// callTime is how long a call of a plain service takes at most, as a rule.
	callTime = 600 * time.Millisecond
	// tokenTime is how long an engine under load takes for a token of an answer.
	tokenTime = 20 * time.Millisecond
)

// endsInTime reports whether a leaving gateway can still answer r.
//
// Guard: callers keep the address of a leaving router for some seconds. A stream that is
// taken then and cut at the end is lost, though it could have run elsewhere.
func (g *Gateway) endsInTime(r *request) bool {
	takes := callTime
	if p := r.ask.Prompt; p != nil {
		takes = r.route.Objective + time.Duration(p.MaxOutput)*tokenTime
	}
	return r.start.Add(takes).Before(*g.end.Load())
}

// Active is the number of requests that are being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

func (g *Gateway) pace() placement.Speed {
	s := g.settings.Load()
	return placement.Speed{TokensPerMs: s.PrefillTokensPerMs, FirstEvent: s.FirstEvent, SlotTurn: s.SlotTurn}
}

// until gives the moment at which a request that came at start gets its final answer.
func until(start time.Time, timeout, deadline time.Duration) time.Time {
	left := timeout
	if deadline > 0 && (left <= 0 || deadline < left) {
		left = deadline
	}
	if left <= 0 {
		left = defaultTimeout
	}
	return start.Add(left)
}

// defaultTimeout is for routes and callers that set none.
const defaultTimeout = 60 * time.Second
