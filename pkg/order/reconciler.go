package order

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// looksAtOnce bounds concurrent state requests.
const looksAtOnce = 16

// Reconciler brings engines to their declared state.
type Reconciler struct {
	engine   Engine
	weights  platform.Weights
	ranks    Ranks
	snapshot func() *resource.Snapshot
	options  Options

	leases *Leases
	grants *rate.Limiter
	drift  drift
	load   load
}

// NewReconciler returns a Reconciler; snapshot returns the configuration in force, nil
// when there is none.
func NewReconciler(table platform.Table, weights platform.Weights, engine Engine, ranks Ranks,
	snapshot func() *resource.Snapshot, o Options) *Reconciler {
	o = o.withDefaults()
	return &Reconciler{
		engine: engine, weights: weights, ranks: ranks, snapshot: snapshot, options: o,
		leases: NewLeases(table, o),
		grants: rate.NewLimiter(rate.Limit(o.GrantsPerSecond), 1),
		load:   load{done: make(chan result, 1)},
	}
}

// SetRate changes the grants a second that this router may ask for, when the fleet
// grows or shrinks. A grant and its end are two writes of the table.
func (r *Reconciler) SetRate(grantsPerSecond float64) { r.grants.SetLimit(rate.Limit(grantsPerSecond)) }

// Run looks at the engines until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(r.options.Interval)
	defer tick.Stop()
	for {
		r.pass(ctx)
		if !r.wait(ctx, tick.C) {
			r.load.end()
			return nil
		}
	}
}

// wait returns when the next pass is due: at the next tick, or when a load is through,
// since the next engine may be waiting for it. false: ctx has ended.
func (r *Reconciler) wait(ctx context.Context, tick <-chan time.Time) bool {
	select {
	case <-tick:
		return true
	case done := <-r.load.done:
		r.load.upstream = ""
		r.note(done)
		return true
	case <-ctx.Done():
		return false
	}
}

// pass looks at all engines that are this router's care, then orders those that
// differ, one after the other, but for the one that must load something.
func (r *Reconciler) pass(ctx context.Context) {
	targets := r.targets()
	r.drift.keepOnly(targets)
	for _, t := range r.look(ctx, targets) {
		due := r.drift.seen(time.Now(), t.upstream.Name, t.declared, t.state.satisfies(t.order), t.rank, r.options.Patience)
		switch {
		case !due || ctx.Err() != nil || r.load.upstream == t.upstream.Name:
		case !t.state.needsWeights(t.order):
			r.note(r.reconcile(ctx, t))
		case r.load.upstream == "":
			r.load.start(t.upstream.Name, func() result { return r.reconcile(ctx, t) })
		}
	}
}

// note keeps what a try came to.
func (r *Reconciler) note(done result) {
	r.drift.tried(time.Now(), done.target.upstream.Name, r.settleTime(done.maySent))
	r.logResult(done.target, done.err)
}

// settleTime is how long an engine gets to follow an order before it is sent again.
func (r *Reconciler) settleTime(maySent bool) time.Duration {
	if maySent {
		return r.options.LongestOrder
	}
	return 0
}

// look asks the engines for their states; those that don't answer are left out.
func (r *Reconciler) look(ctx context.Context, targets []target) []target {
	answered := make([]bool, len(targets))
	var looks errgroup.Group
	looks.SetLimit(looksAtOnce)
	for i := range targets {
		looks.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
			defer cancel()
			state, err := r.engine.State(ctx, targets[i].upstream.URL)
			targets[i].state, answered[i] = state, err == nil
			return nil
		})
	}
	_ = looks.Wait()
	var known []target
	for i, t := range targets {
		if answered[i] {
			known = append(known, t)
		}
	}
	return known
}

// reconcile orders one engine once. Whether it had its effect is seen at the next look.
func (r *Reconciler) reconcile(ctx context.Context, t target) result {
	maySent, err := r.try(ctx, t)
	return result{t, maySent, err}
}

// try says whether the engine may have the order.
func (r *Reconciler) try(ctx context.Context, t target) (maySent bool, err error) {
	if err := r.grants.Wait(ctx); err != nil {
		return false, errors.Trace(err)
	}
	lease, err := r.leases.Grant(ctx, Request{Upstream: t.upstream.Name, Declared: t.declared,
		ChecksFence: t.upstream.ChecksFence, EngineFence: t.state.Fence})
	if err != nil {
		return false, err
	}
	if err = r.prepare(ctx, lease, t); err == nil {
		err = r.send(ctx, lease, t)
		maySent = !nothingDone(err)
	}
	// Guard: a lease given back while an order may still be under way lets a successor
	// in at once, and an engine that ignores the fencing number could follow the old
	// order after the new one. Without an answer the lease has to lapse.
	if err == nil || !maySent {
		_ = r.leases.Revoke(ctx, lease)
	}
	return maySent, err
}

// prepare does what may take long before an order is sent.
func (r *Reconciler) prepare(ctx context.Context, lease *Lease, t target) error {
	if !t.state.needsWeights(t.order) {
		return nil
	}
	if err := r.openWeights(ctx, lease, weightName(t.order)); err != nil {
		return err
	}
	if !r.declares(t.order) {
		return ErrStale
	}
	return nil
}

// send sends the order while the lease is valid; Engine.Send asks last.
func (r *Reconciler) send(ctx context.Context, lease *Lease, t target) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.LongestOrder)
	defer cancel()
	o := t.order
	return r.engine.Send(ctx, t.upstream.URL, Command{Fence: lease.Fence, ID: uuid.NewString(),
		Model: o.Model, Adapter: o.Adapter, Revision: o.Revision, Role: o.Role}, lease.Valid)
}

// nothingDone says that an engine has not followed an order and never will.
func nothingDone(err error) bool {
	return errors.Is(err, ErrOldFence) || errors.Is(err, ErrRejected) || errors.Is(err, ErrLapsed)
}

func (r *Reconciler) logResult(t target, err error) {
	entry := r.options.Log.WithFields(log.Fields{"upstream": t.upstream.Name, "order": t.order.Name, "version": t.declared})
	switch {
	case err == nil:
		entry.Info("order sent")
	case errors.Is(err, ErrHeld) || errors.Is(err, ErrStale):
		entry.WithError(err).Debug("order left to another router")
	default:
		entry.WithError(err).Warn("order not sent, or without an answer")
	}
}
