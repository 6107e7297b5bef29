package gatewayd

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/listening"
	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/pkg/admission"
	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/handover"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/status"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/pkg/traffic"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// Process is a running gateway.
type Process struct {
	settings atomic.Pointer[Settings]
	log      log.Interface
	// setStoreAddr is Deployment.Readdress.
	setStoreAddr func(addr string)
	metrics      *telemetry.Metrics
	catalog      *catalog.Catalog
	watcher      *catalog.Watcher
	pools        *forward.Pools
	health       *upstream.Health
	prefixIndex  *placement.KVIndex
	gateway      *gateway.Gateway
	warmup       *warmup.Gate
	local        *localState
	fleet        *fleet.Fleet
	streams      *affinity.Tracker
	bookings     *booking.Client
	bookingStats bookingStats
	exchange     *fleet.Exchanger
	// peerTraffic counts the traffic on connections that other routers open.
	peerTraffic traffic.Meter
	joiner      *fleet.Joiner
	endpoints   []*endpoint
	logDrops    logDrops
	// refusals keeps refusals in the store; nil where that has no place for them.
	refusals *refusalKeeper
	// versions keeps the software versions that served in the store; nil where that has no place for them.
	versions *versionKeeper
	// streamKeeper keeps records of streams in the store; nil where that has no place for them.
	streamKeeper *streamKeeper
	storeCalls   storeCalls
	// upstreamConns reports why connections to upstreams were opened and closed.
	upstreamConns upstreamConns
	linkUsage     linkUsage
	rowFaults     *rowFaults
	// held counts upstreams that stayed in use although the list lacked them.
	held heldUpstreams
	// rejections reports callers' connections that were rejected.
	rejections rejections
	// handover hands callers' connections over to other routers; nil where that is disabled.
	handover      *handover.Relay
	handoverStats handoverStats
	// shareUsage reports organisations over their share.
	shareUsage shareUsage
	// connLimits bounds the connections of all endpoints, callerListeners are those that take callers'.
	connLimits      *connLimits
	callerListeners []*admission.Listener
	// conns counts callers' connections; cpu, below, measures how long work waits for the CPU.
	conns connCounter
	// callerLink measures callers' use of the link; callerTraffic counts their traffic.
	callerLink    *admission.Link
	callerTraffic []func() traffic.Bytes
	cpu           cpuMonitor

	background sync.WaitGroup
}

// NewProcess builds a gateway and binds its addresses.
func NewProcess(s Settings, d Deployment, l log.Interface) (*Process, error) {
	if s.Limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(softMemoryLimit(s.Limits.MemoryMiB))
	}
	suspects := gateway.NewQuarantine()
	loads, shares, inflows, estimator := placement.NewLoadTracker(), placement.NewShares(), placement.NewInflows(), pace.NewEstimator()
	p := &Process{log: l, setStoreAddr: d.Readdress, metrics: telemetry.NewMetrics(), catalog: catalog.New(l), pools: forward.NewPools(d.Dialect.IDHeader()),
		health: upstream.NewHealth(), prefixIndex: placement.NewKVIndex()}
	p.settings.Store(&s)
	p.pools.SetMaxHead(s.Upstreams.maxHeadBytes())
	p.local = &localState{catalog: p.catalog, loads: loads, prefixIndex: p.prefixIndex, shares: shares, inflows: inflows, estimator: estimator, quarantine: suspects, demand: new(demand),
		ready: func() bool { return p.gateway.Ready() }, cpuStarved: p.cpu.starved, log: l, newerPeers: make(chan newerPeer, 1)}
	p.connLimits = newConnLimits(s.Limits, p.metrics.Scope, l)
	p.connLimits.apply = p.limitOthers
	p.fleet = fleet.New(member(s), p.local, l)
	p.exchange = fleet.NewExchanger(p.fleet)
	p.streams = affinity.NewTracker(streamView{p.catalog, p.fleet}, p.exchange.AskStream, time.Now(), l)
	p.local.streams = p.streams
	p.streams.SetLeaveLimit(millis(s.Streams.LeavingUpstreamMs))
	p.local.bookings = booking.NewBook(s.Bookings.RunShare)
	p.bookings = booking.NewClient(bookingFleet{p.fleet, p.exchange}, p.local.bookings, l)
	p.bookingStats = bookingStats{client: p.bookings, book: p.local.bookings, log: l}
	p.logDrops = logDrops{count: d.LinesDropped, log: l, counter: p.metrics.Scope.Counter("log_lines_dropped")}
	p.linkUsage = linkUsage{scope: p.metrics.Scope, log: l}
	p.linkUsage.watch("upstreams", p.pools.Traffic)
	p.linkUsage.watch("peers", p.exchange.Traffic)
	p.linkUsage.watch("peers", p.peerTraffic.Total)
	p.linkUsage.watch("store", d.StoreTraffic)
	p.storeCalls = storeCalls{counts: d.StoreCalls, scope: p.metrics.Scope, log: l}
	p.upstreamConns = upstreamConns{each: p.pools.EachConnectionCount, scope: p.metrics.Scope, log: l}
	p.shareUsage = shareUsage{shares: shares, capacity: p.capacity, log: l}
	p.rowFaults = newRowFaults(p.catalog, d.RowFaults, l, p.metrics.Scope)
	p.held = heldUpstreams{count: p.catalog.HeldTotal, counter: p.metrics.Scope.Counter("upstreams_held")}
	p.warmup = warmup.NewGate(p.roster, p.listCurrent, l)
	p.updateWarmup(s)
	p.catalog.OnExpected(func(set *upstream.Set) { p.streams.ExpectUpstreams(set, time.Now()) })
	p.catalog.OnInstances(func(set *upstream.Set, known time.Time) {
		p.pools.UpdateList(set, known)
		p.warmup.SetUpstreams(set, time.Now())
		p.streams.SetUpstreams(set, known, time.Now())
		p.gateway.UpdateUpstreams(set, time.Now())
	})
	p.catalog.OnZonesRestored(p.warmup.MarkRestored)
	storeLimit := patience.NewLimit(maxStoreTimeout)
	if d.Refusals != nil {
		p.refusals = &refusalKeeper{store: d.Refusals, book: suspects, ranking: p.fleet, log: l, limit: storeLimit}
	}
	if d.Versions != nil {
		p.streams.RequireRegister()
		p.versions = &versionKeeper{store: d.Versions, tracker: p.streams, ranking: p.fleet, log: l, limit: storeLimit}
	}
	p.joiner = fleet.NewJoiner(p.exchange, d.Registry, s.Entries.Known, s.Router.FirstStart, l)
	p.keepStreams(d.Streams, storeLimit, l)
	p.watcher = catalog.NewWatcher(p.catalog, d.Store, storeDuties{ranking: p.fleet, joined: p.joiner.Settled}, l)
	p.gateway = gateway.New(gatewaySettings(s), gateway.Dependencies{
		Catalog: p.catalog, Dialect: d.Dialect, Pools: p.pools, Health: p.health,
		Loads: loads, PrefixIndex: p.prefixIndex, Shares: shares, Inflows: inflows, Estimator: estimator, Warmup: p.warmup, Quarantine: suspects, Streams: p.streams, Bookings: p.bookings, Peers: p.fleet, Log: l,
		ConnectionPressure: func() bool { return p.conns.overLimit() || p.cpu.starved() || p.callerLink.Busy(time.Now()) }, Overloaded: p.overloaded, CPUStarved: p.cpu.starved, Metrics: p.metrics.Scope,
	})
	p.limitMemory(int64(s.Limits.MemoryMiB) << 20)
	p.addKnownPeers(s.Entries.Known)
	if err := p.bind(d.Faces); err != nil {
		return p, errors.Trace(err)
	}
	p.connLimits.refresh()
	return p, nil
}

func (p *Process) bind(f Faces) error {
	s := p.settings.Load()
	if err := p.bindCallers(s.Listen.Callers); err != nil {
		return errors.Trace(err)
	}
	for _, e := range []struct {
		name, addr string
		handler    http.Handler
	}{
		{readinessEndpoint, s.Listen.Readiness, connlimit.WithoutBodies(f.Readiness(p.gateway.Ready))},
		{peersEndpoint, s.Listen.Peers, p.fleet.Handler()},
		{metricsEndpoint, s.Listen.Metrics, connlimit.WithoutBodies(p.metricsHandler())},
		{entriesEndpoint, s.Listen.Entries, connlimit.WithoutBodies(f.Entries(p.entries, func() float64 { return p.settings.Load().Entries.KeepSeconds }))},
	} {
		if e.addr == "" {
			continue
		}
		if err := p.bindLimited(e.name, e.addr, e.handler); err != nil {
			return errors.Annotatef(err, "listen for %s", e.name)
		}
	}
	return nil
}

// bindLimited listens for one of the endpoints that aren't for callers' requests.
func (p *Process) bindLimited(name, addr string, h http.Handler) error {
	var l net.Listener
	l, err := listening.TCP(addr, otherSockets[name])
	if err != nil {
		return errors.Trace(err)
	}
	if name == peersEndpoint {
		l = p.peerTraffic.Listen(l)
	}
	p.endpoints = append(p.endpoints, newEndpoint(name, p.connLimits.groups[name].Listen(l), h))
	return nil
}

// metricsHandler serves metrics and status, and profiles where they are enabled.
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
	tcp, err := listening.TCP(addr, callersSocket(limits))
	if err != nil {
		return errors.Annotatef(err, "listen for %s", callersEndpoint)
	}
	l, err := admission.New(tcp, limits.Cores, gateway.RejectionResponse)
	if err != nil {
		return errors.Trace(err)
	}
	p.callerLink = admission.NewLink(limits.LinkMbps, p.bytesFromCallers)
	p.callerTraffic = append(p.callerTraffic, l.Traffic)
	l.SetLink(p.callerLink)
	l.SetObjective(p.shortestObjective)
	p.endpoints = append(p.endpoints, p.newCallersEndpoint(callersEndpoint, l, gateway.WithConn))
	if err := p.bindHandover(l); err != nil {
		return errors.Trace(err)
	}
	p.linkUsage.watch("callers", l.Traffic)
	p.linkUsage.paused = p.callerLink.PauseTime
	p.cpu.connWait = l.EstimatedWait
	p.cpu.idle = func() bool { return p.gateway.Active() == 0 }
	p.local.demand.counts = func() (accepted, rejected int64) {
		refused, closed := l.ShedCounts()
		return l.Admitted(), refused + closed
	}
	p.rejections = rejections{counts: l.ShedCounts, meanTime: l.RefusalCost, coreShare: l.CPUShare, log: p.log, counter: p.metrics.Scope.Counter("connections_turned_away")}
	return nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := p.settings.Load()
	p.log.WithFields(log.Fields{"event": "start", "callers": s.Listen.Callers, "metrics": s.Listen.Metrics, "zone": s.Router.Zone}).Info("router starting")
	p.goBackground(func() { p.watcher.WatchConfig(background) })
	p.goBackground(func() { p.watcher.WatchInstances(background) })
	p.goBackground(func() { p.pools.Run(background, p.catalog.Instances) })
	p.goBackground(func() { p.housekeeping(background) })
	if p.refusals != nil {
		p.goBackground(func() { p.refusals.run(background, p.settings.Load().Router.FirstStart) })
	}
	if p.versions != nil {
		p.goBackground(func() { p.versions.run(background, p.settings.Load().Router.FirstStart) })
	}
	if p.streamKeeper != nil {
		p.goBackground(func() { p.streamKeeper.run(background) })
	}
	p.goBackground(func() { p.cpu.run(background, p.log) })
	p.goBackground(func() { p.joiner.Run(background) })
	p.goBackground(func() { p.exchange.Run(background) })
	p.goBackground(func() { p.local.catchUp(background, p.exchange) })
	p.goBackground(func() { p.startup().run(background) })
	for _, f := range p.endpoints {
		p.goBackground(func() { p.serve(f) })
	}
	<-ctx.Done()
	p.drain()
	cancel()
	p.background.Wait()
	p.storeCalls.writeLog()
	p.upstreamConns.report()
	p.log.WithField("event", "stop").Info("router stopped")
	return nil
}

func (p *Process) goBackground(f func()) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		f()
	}()
}

func (p *Process) serve(f *endpoint) {
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		p.log.WithError(err).WithField("event", "face_lost").WithField("face", f.name).Error("stopped serving")
	}
}
