package edge

import "sync"

// retryBurst is the most retries that can be saved up.
const retryBurst = 10

// retryBudget bounds the system's own retries to a share of requests. Without it every
// request of an outage would be tried again and again, and the retries would keep the
// upstreams down.
type retryBudget struct {
	share float64

	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(share float64) *retryBudget {
	b := &retryBudget{share: share}
	if share > 0 {
		b.tokens = retryBurst
	}
	return b
}

// tune sets the share from now on; without one there are no retries.
func (b *retryBudget) tune(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	if share <= 0 {
		b.tokens = 0
	}
}

// request pays a request's share in.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, retryBurst)
}

// retry takes one retry out, false when there is none.
func (b *retryBudget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
