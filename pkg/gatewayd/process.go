package gatewayd

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/admission"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/handover"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/status"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/pkg/traffic"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// Faces are the handlers that speak a deployment's own words.
type Faces struct {
	Entries   func(current func(zone string) []string, keepSeconds func() float64) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Deployment is what an adapter provides.
type Deployment struct {
	Store    catalog.Store
	Registry fleet.Registry
	Dialect  gateway.Dialect
	Faces    Faces
	// Readdress makes Store and Registry use another address of the operators' store.
	Readdress func(addr string)
	// RowFaults counts changes of the store's rows, beside the list of upstreams, to ones
	// that can't be used; nil for none.
	RowFaults func() int64
	// StoreCalls counts calls to the store so far by kind; nil for none.
	StoreCalls func() map[string]int64
	// StoreTraffic is what the connections to the store carried so far; nil where nobody counts.
	StoreTraffic func() traffic.Bytes
	// LinesDropped counts log lines that a slow reader cost so far; nil for none.
	LinesDropped func() int64
}

// Process is a running gateway.
type Process struct {
	settings atomic.Pointer[Settings]
	log      log.Interface
	// readdress is the deployment's.
	readdress func(addr string)
	metrics   *telemetry.Metrics
	catalog   *catalog.Catalog
	watcher   *catalog.Watcher
	pools     *forward.Pools
	health    *upstream.Health
	holdings  *placement.KVIndex
	gateway   *gateway.Gateway
	warmup    *warmup.Gate
	telling   *telling
	fleet     *fleet.Fleet
	exchange  *fleet.Exchanger
	// asked counts what other routers ask of this one.
	asked   traffic.Meter
	joiner  *fleet.Joiner
	faces   []*face
	dropped drops
	calls   storeCalls
	link    linkUse
	faults  *entryFaults
	// holds counts upstreams that were kept though they were missing from the list.
	holds holds
	// turnedAway tells of callers' connections that were not let in.
	turnedAway turnedAway
	// handover passes callers' connections on, nil where it doesn't.
	handover *handover.Relay
	handed   handedOver
	// uses tells of organisations over their share.
	uses uses
	// crowd counts callers' connections, pressure watches over the processor.
	crowd crowd
	// inbound is the link as callers use it, fromCallersOf counts what comes from them.
	inbound       *admission.Link
	fromCallersOf []func() traffic.Bytes
	pressure      pressure

	duties sync.WaitGroup
}

// NewProcess builds a gateway and binds its addresses.
func NewProcess(s Settings, d Deployment, l log.Interface) (*Process, error) {
	if s.Limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMiB<<20) * memoryShare))
	}
	suspects := quarantine.New(quarantine.Config{CrashLimit: gateway.CrashLimit, Duration: gateway.QuarantineDuration})
	ledger, shares, inflows, paces := placement.NewLoadTracker(), placement.NewShares(), placement.NewInflows(), pace.NewEstimator()
	p := &Process{log: l, readdress: d.Readdress, metrics: telemetry.NewMetrics(), catalog: catalog.New(l), pools: forward.NewPools(d.Dialect.IDHeader()),
		health: upstream.NewHealth(), holdings: placement.NewKVIndex()}
	p.settings.Store(&s)
	p.telling = &telling{catalog: p.catalog, ledger: ledger, holdings: p.holdings, shares: shares, inflows: inflows, paces: paces, suspects: suspects, demand: new(demand),
		ready: func() bool { return p.gateway.Ready() }, pressed: p.pressure.pressed, log: l, behind: make(chan newer, 1)}
	p.crowd.limit.Store(int64(s.Limits.KeptConnections))
	p.fleet = fleet.New(member(s), p.telling, l)
	p.exchange = fleet.NewExchanger(p.fleet)
	p.dropped = drops{count: d.LinesDropped, log: l, counter: p.metrics.Scope.Counter("log_lines_dropped")}
	p.link = linkUse{scope: p.metrics.Scope, log: l}
	p.link.watch("upstreams", p.pools.Traffic)
	p.link.watch("peers", p.exchange.Traffic)
	p.link.watch("peers", p.asked.Total)
	p.link.watch("store", d.StoreTraffic)
	p.calls = storeCalls{count: d.StoreCalls, scope: p.metrics.Scope, log: l}
	p.uses = uses{shares: shares, capacity: p.capacity, log: l}
	p.faults = newEntryFaults(p.catalog, d.RowFaults, l, p.metrics.Scope)
	p.holds = holds{count: p.catalog.Holds, counter: p.metrics.Scope.Counter("upstreams_held")}
	p.warmup = warmup.NewGate(p.roster, p.listCurrent, l)
	p.tuneWarmup(s)
	p.catalog.Follow(func(set *upstream.Set, known time.Time) {
		p.pools.UpdateList(set, known)
		p.warmup.Follow(set, time.Now())
	})
	p.catalog.FollowRestored(p.warmup.Restore)
	p.joiner = fleet.NewJoiner(p.exchange, d.Registry, s.Entries.Known, s.Router.FirstStart, l)
	p.watcher = catalog.NewWatcher(p.catalog, d.Store, duties{ranks: p.fleet, settled: p.joiner.Settled}, l)
	p.gateway = gateway.New(gatewaySettings(s), gateway.Dependencies{
		Catalog: p.catalog, Dialect: d.Dialect, Pools: p.pools, Health: p.health,
		Loads: ledger, PrefixIndex: p.holdings, Shares: shares, Inflows: inflows, Estimator: paces, Warmup: p.warmup, Quarantine: suspects, Peers: p.fleet, Log: l,
		ConnectionPressure: func() bool { return p.crowd.full() || p.pressure.pressed() || p.inbound.Busy(time.Now()) }, Overloaded: p.overrun, CPUStarved: p.pressure.pressed, Metrics: p.metrics.Scope,
	})
	p.meet(s.Entries.Known)
	return p, errors.Trace(p.bind(d.Faces))
}

// meet makes the fleet ask at addresses where routers may live.
func (p *Process) meet(addrs []string) {
	for _, addr := range addrs {
		p.fleet.AddMembers([]fleet.Member{{Peers: addr}})
	}
}

// memoryShare is the part of the memory limit at which the runtime collects at all costs;
// the rest is for the kernel's buffers, which count as well.
const memoryShare = 0.7

func gatewaySettings(s Settings) gateway.Settings {
	return gateway.Settings{
		Router: s.Router.Name, Zone: s.Router.Zone,
		PrefillTokensPerMs: s.Engines.PrefillTokensPerMs,
		FirstEvent:         millis(s.Engines.FirstEventMs),
		SlotTurn:           millis(s.Engines.SlotTurnMs),
		Disabled:           s.Trial.off(),
		Cores:              s.Limits.Cores, MaxEventDelay: millis(s.Streams.EventDelayMs),
		RetryRatio: s.Repeats.Ratio, RetrySlack: s.Repeats.Slack,
		RetryWindow: seconds(s.Repeats.WindowSeconds),
		Grace:       seconds(s.Leaving.GraceSeconds),
	}
}

// facingCallers names the address for callers, facingPeers that for other routers.
const (
	facingCallers = "callers"
	facingPeers   = "peers"
)

func (p *Process) bind(f Faces) error {
	s := p.settings.Load()
	if err := p.bindCallers(s.Listen.Callers); err != nil {
		return errors.Trace(err)
	}
	for _, one := range []struct {
		name, addr string
		handler    http.Handler
	}{
		{"readiness", s.Listen.Readiness, f.Readiness(p.gateway.Ready)},
		{facingPeers, s.Listen.Peers, p.fleet.Handler()},
		{"metrics", s.Listen.Metrics, p.metricsHandler()},
		{"entries", s.Listen.Entries, f.Entries(p.entries, func() float64 { return p.settings.Load().Entries.KeepSeconds })},
	} {
		if one.addr == "" {
			continue
		}
		bound, err := newFace(one.name, one.addr, one.handler)
		if err != nil {
			return errors.Trace(err)
		}
		if one.name == facingPeers {
			bound.listen = p.asked.Listen(bound.listen)
		}
		p.faces = append(p.faces, bound)
	}
	return nil
}

// metricsHandler serves metrics and status, and profiles where they are switched on.
func (p *Process) metricsHandler() http.Handler {
	h := status.Handler(p.status, p.metrics, p.log)
	if p.settings.Load().Listen.Profile {
		return status.WithProfiles(h)
	}
	return h
}

// bindCallers listens for callers.
func (p *Process) bindCallers(addr string) error {
	limits := p.settings.Load().Limits
	tcp, err := listenFor(addr, admission.Backlog(limits.LinkMbps))
	if err != nil {
		return errors.Annotatef(err, "listen for %s", facingCallers)
	}
	l, err := admission.New(tcp, limits.Cores, gateway.RejectionResponse)
	if err != nil {
		return errors.Trace(err)
	}
	p.inbound = admission.NewLink(limits.LinkMbps, p.fromCallers)
	p.fromCallersOf = append(p.fromCallersOf, l.Traffic)
	l.Over(p.inbound)
	callers := faceOn(facingCallers, l, p.gateway)
	callers.server.ConnState = p.crowd.observe
	callers.server.ConnContext = gateway.WithConn
	p.faces = append(p.faces, callers)
	if err := p.bindHandover(l); err != nil {
		return errors.Trace(err)
	}
	p.link.watch("callers", l.Traffic)
	p.link.held = p.inbound.Held
	p.pressure.wait = l.Wait
	p.pressure.calm = func() bool { return p.gateway.Active() == 0 }
	p.telling.demand.count = func() (accepted, away int64) {
		refused, closed := l.TurnedAway()
		return l.Accepted(), refused + closed
	}
	p.turnedAway = turnedAway{count: l.TurnedAway, takes: l.RefusalTime, share: l.Share, log: p.log, counter: p.metrics.Scope.Counter("connections_turned_away")}
	return nil
}

func member(s Settings) fleet.Member {
	return fleet.Member{Name: s.Router.Name, Peers: s.peers(), Callers: s.callers(),
		Zone: s.Router.Zone, Started: time.Now().UnixNano(), Power: s.Limits.Cores, Handover: s.Listen.Handover}
}

// Run serves until ctx ends, then leaves in order.
func (p *Process) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	s := p.settings.Load()
	p.log.WithFields(log.Fields{"event": "start", "callers": s.Listen.Callers, "metrics": s.Listen.Metrics, "zone": s.Router.Zone}).Info("router starts")
	p.duty(func() { p.watcher.WatchConfig(life) })
	p.duty(func() { p.watcher.WatchInstances(life) })
	p.duty(func() { p.pools.Run(life, p.catalog.Instances) })
	p.duty(func() { p.housekeeping(life) })
	p.duty(func() { p.pressure.run(life, p.log) })
	p.duty(func() { p.joiner.Run(life) })
	p.duty(func() { p.exchange.Run(life) })
	p.duty(func() { p.telling.catchUp(life, p.exchange) })
	for _, f := range p.faces {
		p.duty(func() { p.serve(f) })
	}
	<-ctx.Done()
	p.leave()
	end()
	p.duties.Wait()
	p.calls.write()
	p.log.WithField("event", "stop").Info("router has stopped")
	return nil
}

func (p *Process) duty(f func()) {
	p.duties.Add(1)
	go func() {
		defer p.duties.Done()
		f()
	}()
}

func (p *Process) serve(f *face) {
	if err := f.server.Serve(f.listen); !errors.Is(err, http.ErrServerClosed) {
		p.log.WithError(err).WithField("event", "face_lost").WithField("face", f.name).Error("stopped serving")
	}
}

// capacity is what all engines are declared to do together, in tokens a second; 0 without a
// configuration.
func (p *Process) capacity() float64 {
	table := p.catalog.Table()
	if table == nil {
		return 0
	}
	return table.Config.Limits.TokensPerSecond
}
