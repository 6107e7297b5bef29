package order

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Backoff while the weight store refuses.
const (
	weightsBackoffMin = 500 * time.Millisecond
	weightsBackoffMax = 20 * time.Second
)

// openWeights asks the weight store until it agrees, and keeps the lease meanwhile. The
// store's limit holds for the whole fleet: only an engine's lease holder asks for it,
// each router for one engine at a time, and less and less often while refused.
func (r *Reconciler) openWeights(ctx context.Context, lease *Lease, name string) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.WeightsPatience)
	defer cancel()
	backoff := weightsBackoffMin
	for {
		err := r.openOnce(ctx, name)
		if err == nil || !errors.Is(err, platform.ErrRefused) {
			return err
		}
		select {
		case <-time.After(backoff*3/4 + rand.N(backoff/2)):
		case <-ctx.Done():
			return errors.Annotate(err, "weight store")
		}
		backoff = min(2*backoff, weightsBackoffMax, r.options.TTL/3)
		if err := r.keep(ctx, lease); err != nil {
			return err
		}
	}
}

func (r *Reconciler) openOnce(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	return r.weights.Open(ctx, name)
}

// keep renews a lease of which less than half is left.
//
// Guard: the longest pause, 5/4 of a third of the lease, and one question must fit into
// that half, or the lease lapses in the wait and a successor has to wait it out.
func (r *Reconciler) keep(ctx context.Context, lease *Lease) error {
	if lease.Remaining() > r.options.TTL/2 {
		return nil
	}
	return r.leases.Renew(ctx, lease)
}
