package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"go.uber.org/fx"

	"github.com/flamingowind/flamingowind/internal/listening"
	"github.com/flamingowind/flamingowind/pkg/claimant"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
	"github.com/flamingowind/flamingowind/pkg/edge"
	"github.com/flamingowind/flamingowind/pkg/keeping"
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/once"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/order"
	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
)

// Limits of the metrics' server: the time that a scraper may take to send its request and to send another one, and the bytes of
// a request's header.
const (
	metricsHeaderTimeout = 5 * time.Second
	metricsIdleTimeout   = 2 * time.Minute
	metricsMaxHeader     = 16 << 10
)

// Limits of the listening sockets, and of the connections at those that aren't for callers.
var (
	callersSocket = listening.Limits{Backlog: 512, ReceiveBuffer: 16 << 10}
	ownSocket     = listening.Limits{Backlog: 64, ReceiveBuffer: 16 << 10}
	ownConns      = connlimit.Limits{Open: 128, Unfinished: 32}
)

// limited bounds the connections of an address that isn't for callers.
func (r router) limited(l net.Listener) net.Listener {
	return connlimit.NewGroup(ownConns, r.Edge.Heads()).Listen(l)
}

// router is all that start puts into motion.
type router struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  settings.Settings
	Log       log.Interface
	Metrics   *telemetry.Metrics
	Duties    *duties
	Frames    *frames
	Transport *peer.Transport
	Members   *member.Duty
	Live      *config.Live
	Exchange  *config.Exchange
	Syncer    *config.Syncer
	Poller    *config.Poller
	Keeping   *keeping.Manager
	Claimant  *claimant.Claimant
	Book      *once.Book
	Orders    *order.Reconciler
	Suspects  *suspects
	Edge      *edge.Edge
	Operator  *operator.API
	Drain     *drain
}

// start joins the parts that need each other and starts the duties.
func start(r router) {
	r.Members.Attach(r.Transport)
	r.Frames.setMarked(r.Keeping.Mark)
	r.Suspects.notify = r.Keeping.UpdateSuspect
	r.Frames.set(
		r.Members, r.Keeping, r.Suspects,
		claimantFrames{r.Claimant},
		configFrames{r.Exchange, r.Transport, r.Log},
	)
	r.Lifecycle.Append(fx.Hook{OnStart: r.onStart, OnStop: r.onStop})
}

func (r router) onStart(context.Context) error {
	callers, err := listening.TCP(r.Settings.Listen.Entry, callersSocket)
	if err != nil {
		return errors.Annotate(err, "listen.entry")
	}
	operators, err := listening.TCP(r.Settings.Listen.Operator, ownSocket)
	if err != nil {
		return errors.Annotate(err, "listen.operator")
	}
	metrics, err := listening.TCP(r.Settings.Listen.Metrics, ownSocket)
	if err != nil {
		return errors.Annotate(err, "listen.metrics")
	}
	r.runDuties()
	r.Duties.run(func(ctx context.Context) { r.report("operator API", r.Operator.Serve(ctx, r.limited(operators))) })
	r.Duties.run(func(ctx context.Context) { r.report("metrics", serveMetrics(ctx, r.limited(metrics), r.Metrics)) })
	r.Drain.serve(r.Edge.Server(), r.Edge.Listener(callers))
	r.Log.WithField("entry", callers.Addr().String()).Info("router started")
	return nil
}

func (r router) runDuties() {
	r.Duties.run(r.Members.Run)
	r.Duties.run(r.Poller.Run)
	r.Duties.run(r.Syncer.Run)
	r.Duties.run(r.Keeping.Run)
	r.Duties.run(r.Claimant.Run)
	r.Duties.run(func(ctx context.Context) { r.report("idempotency records", r.Book.Run(ctx)) })
	r.Duties.run(func(ctx context.Context) { r.report("orders to engines", r.Orders.Run(ctx)) })
	r.Duties.run(r.watchChanges)
	r.Duties.run(newCatchUp(r.Suspects).run)
	g := &gauges{
		scope: r.Metrics.Scope, transport: r.Transport, keeping: r.Keeping,
		claimant: r.Claimant, live: r.Live, members: r.Members, suspects: r.Suspects,
	}
	r.Duties.run(g.run)
}

// watchChanges tells keeping and claimant of a new configuration or membership.
func (r router) watchChanges(ctx context.Context) {
	views, endViews := r.Members.Subscribe()
	defer endViews()
	versions, endVersions := r.Live.Subscribe()
	defer endVersions()
	share := shares{r.Members, r.Book, r.Orders}
	known := lives{}
	for {
		share.set()
		for _, id := range known.restarted(r.Members.View()) {
			r.Claimant.PeerRestarted(id)
		}
		select {
		case <-ctx.Done():
			return
		case <-views:
		case <-versions:
		}
		r.Keeping.Changed()
		r.Claimant.KeepersChanged()
	}
}

func (r router) report(what string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		r.Log.WithError(err).WithField("duty", what).Error("duty ended")
	}
}

func serveMetrics(ctx context.Context, l net.Listener, m *telemetry.Metrics) error {
	routes := mux.NewRouter()
	routes.Path("/metrics").Methods(http.MethodGet).Handler(m)
	server := &http.Server{Handler: connlimit.WithoutBodies(routes), ReadHeaderTimeout: metricsHeaderTimeout, IdleTimeout: metricsIdleTimeout, MaxHeaderBytes: metricsMaxHeader}
	connlimit.Track(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
