package daemon

import (
	"io"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/flamingowind/flamingowind/pkg/claimant"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/edge"
	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/keeping"
	"github.com/flamingowind/flamingowind/pkg/marks"
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/once"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/order"
	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/httpplatform"
	"github.com/flamingowind/flamingowind/pkg/quarantine"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Module provides the parts of a router.
var Module = fx.Module("router",
	fx.Provide(
		newLog, telemetry.NewMetrics, newDuties, newFrames, newReach,
		newPlatform, newTable, newStore, newLive, newExchange, newSyncer, newPoller,
		newMarks, newNotices, newMembers, newTransport, newSender,
		newDirectory, newKeeping, newClaimant,
		newBook, newReconciler, newSuspects, newEntries, newEdge, newOperator, newDrain,
	),
)

func newLog(s settings.Settings, w io.Writer) (log.Interface, error) {
	l, err := telemetry.NewLog(w, s.Log.Level, s.Log.Form)
	if err != nil {
		return nil, err
	}
	return l.WithField("router", s.Router.ID), nil
}

func newPlatform(s settings.Settings) (*httpplatform.Client, error) {
	return httpplatform.New(s.Platform.URL, s.Platform.Timeout.Std())
}

func newTable(c *httpplatform.Client) platform.Table { return c.Table() }

func newStore(t platform.Table) *config.Store { return config.NewStore(t, config.StoreOptions{}) }

func newLive(s settings.Settings, r *reach) *config.Live {
	return config.NewLive(config.LiveOptions{
		ConfirmWithin: s.Timing.ConfirmWithin.Std(),
		Started:       time.Now(),
		Reach:         r,
	})
}

func newExchange(s *config.Store, l *config.Live) *config.Exchange { return config.NewExchange(s, l) }

func newSyncer(s settings.Settings, store *config.Store, l *config.Live, a *sender, lg log.Interface) *config.Syncer {
	return config.NewSyncer(store, l, a, config.SyncerOptions{
		PeerWait: 2 * s.Timing.Heartbeat.Std(),
		Retry:    s.Timing.Heartbeat.Std(),
		Log:      lg,
	})
}

func newPoller(s settings.Settings, store *config.Store, l *config.Live, r *reach, lg log.Interface) *config.Poller {
	return config.NewPoller(store, l, r, config.PollerOptions{
		Poll:          s.Timing.Poll.Std(),
		ConfirmWithin: s.Timing.ConfirmWithin.Std(),
		ReadTimeout:   s.Platform.Timeout.Std(),
		Log:           lg,
	})
}

// newMarks makes the store of leaving marks; the duty that is told of news comes later.
func newMarks(f *frames) *marks.Store { return marks.NewStore(f.marked) }

func newMembers(s settings.Settings, c *httpplatform.Client, l *config.Live, m *marks.Store, r *reach, lg log.Interface) *member.Duty {
	d := member.NewDuty(member.Config{
		Options: member.Options{
			Self: wire.Member{
				ID:        wire.RouterID(s.Router.ID),
				Zone:      s.Router.Zone,
				PeerAddr:  advertised(s.Advertise.Peer, s.Listen.Peer),
				EntryAddr: advertised(s.Advertise.Entry, s.Listen.Entry),
			},
			Start:        time.Now(),
			Seeds:        s.Peers.Seeds,
			Heartbeat:    s.Timing.Heartbeat.Std(),
			SuspectAfter: s.Timing.SuspectAfter.Std(),
			DeadAfter:    s.Timing.DeadAfter.Std(),
			Seed:         seedOf(s.Router.ID),
		},
		Versions: l,
		Marks:    m,
		Hosts:    marks.NewHosts(c.Hosts(), m),
		Poll:     s.Timing.Poll.Std(),
		Log:      lg,
	})
	r.set(d)
	return d
}

func newTransport(s settings.Settings, f *frames, m *member.Duty, lg log.Interface) (*peer.Transport, error) {
	return peer.New(peer.Options{
		ID:       wire.RouterID(s.Router.ID),
		Listen:   s.Listen.Peer,
		Cert:     s.Peers.Cert,
		Key:      s.Peers.Key,
		CA:       s.Peers.CA,
		Resolver: m,
		Coalesce: s.Timing.Coalesce.Std(),
		Seed:     seedOf(s.Router.ID),
		Log:      lg,
	}, f)
}

func newKeeping(s settings.Settings, d *directory, snd *sender, q *suspects, lg log.Interface) *keeping.Manager {
	return keeping.New(d, snd, keeping.Options{
		Keeper: keeper.Options{
			TTL:            s.Timing.GrantTTL.Std(),
			ReportInterval: s.Timing.Report.Std(),
			Crashes:        q.list.CrashCount,
			Slice:          s.Sharing.Slice,
			Slices:         s.Sharing.Slices,
		},
		Log: lg,
	})
}

func newClaimant(s settings.Settings, d *directory, snd *sender, m *member.Duty, l *config.Live, k *marks.Store, e *entries) *claimant.Claimant {
	return claimant.New(d, snd, claimant.Options{
		Self:            wire.RouterID(s.Router.ID),
		Incarnation:     wire.Incarnation(member.Life(m.View().Self.Incarnation)),
		ReportInterval:  s.Timing.Report.Std(),
		MaxQueued:       s.Limits.MaxQueued,
		MaxQueuedPerOrg: orgQueued(l),
		Marks:           k.RecentMarks,
		Entries:         e.Others,
	})
}

func newBook(t platform.Table, s settings.Settings, r *reach) *once.Book {
	return once.New(t, once.Options{
		Timeout: s.Platform.Timeout.Std(),
		Sweeps:  func() bool { return r.Among(sweepKey, sweepers) },
	})
}

func newReconciler(c *httpplatform.Client, r *reach, l *config.Live, s settings.Settings, lg log.Interface) *order.Reconciler {
	return order.NewReconciler(c.Table(), c.Weights(), order.NewHTTPEngine(), r, l.Snapshot, order.Options{
		Router:       s.Router.ID,
		TTL:          s.Timing.OrderTTL.Std(),
		LongestOrder: s.Timing.OrderLongest.Std(),
		Interval:     s.Timing.OrderInterval.Std(),
		Patience:     s.Timing.OrderPatience.Std(),
		Timeout:      s.Platform.Timeout.Std(),
		Log:          lg,
	})
}

func newSuspects(m *member.Duty, t *peer.Transport) *suspects {
	return &suspects{list: quarantine.New(quarantine.Config{}), members: m, transport: t}
}

func newEntries(l *config.Live, m *member.Duty) *entries { return &entries{live: l, members: m} }

func newEdge(s settings.Settings, l *config.Live, c *claimant.Claimant, e *entries, q *suspects, b *once.Book, m *telemetry.Metrics, n *notices, lg log.Interface) *edge.Edge {
	limits := dispatch.DefaultLimits()
	limits.MaxResponses = int64(s.Limits.MaxResponses)
	dispatcher := dispatch.New(limits)
	dispatcher.OnNotice(func(name string, of upstream.Notice) { n.observe(name, of, time.Now()) })
	return edge.New(edge.Config{
		Limits:     edgeLimits(s.Limits),
		Source:     catalogs{l},
		Gate:       gate{l},
		Scheduler:  c,
		Dispatcher: dispatcher,
		Entries:    e,
		Guard:      guard{b},
		Suspects:   q,
		Observer:   observer{telemetry.NewRequests(m.Scope)},
		Log:        lg,
	})
}

func newOperator(s settings.Settings, store *config.Store, l *config.Live, r *reach, d *drain, lg log.Interface) (*operator.API, error) {
	tokens, err := operator.NewTokens(s.Operator.TokenFile)
	if err != nil {
		return nil, err
	}
	return operator.New(operator.Options{
		Router: s.Router.ID, Store: store, Live: l, Fleet: r, Tokens: tokens, Drain: d.request, Log: lg,
	}), nil
}
