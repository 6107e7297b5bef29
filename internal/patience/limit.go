package patience

import (
	"context"
	"sync"
	"time"
)

// shrinkFactor is how much longer than a call that ended well the next one may take at least.
const shrinkFactor = 4

// Limit bounds the calls to a service. The bound doubles each time that a call runs into it, so that a service which
// answers slowly is waited for in the end, and comes back as its answers are quick again.
type Limit struct {
	most time.Duration

	mu    sync.Mutex
	grown time.Duration
}

// NewLimit returns a limit that grows to most.
func NewLimit(most time.Duration) *Limit { return &Limit{most: most} }

// Get returns the bound of the next call, which is least at first.
func (l *Limit) Get(least time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(least, l.grown)
}

// Ended takes over how a call with a bound ended that took this long. Of several calls that run into the same bound one counts.
func (l *Limit) Ended(err error, bound, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.grown = min(l.grown, max(l.grown/2, shrinkFactor*took))
	case took >= bound && bound >= l.grown:
		l.grown = min(2*bound, l.most)
	}
}

// Do makes a call within the bound.
func (l *Limit) Do(ctx context.Context, least time.Duration, call func(context.Context) error) error {
	bound, began := l.Get(least), time.Now()
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	err := call(ctx)
	l.Ended(err, bound, time.Since(began))
	return err
}
