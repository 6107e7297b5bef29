package peer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the wait after a failed try to connect. The upper one stays below the
// time in which a healed partition should be noticed.
const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// backoff gives waits that double with each failure, with jitter: routers that lost
// a peer together must not all come back to it in the same moment.
type backoff struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newBackoff(seed uint64) *backoff {
	return &backoff{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// after gives the wait after the given number of failures in a row, from half of the
// nominal wait to the whole.
func (b *backoff) after(failures int) time.Duration {
	nominal := lastBackoff
	if failures < 7 {
		nominal = min(firstBackoff<<max(failures-1, 0), lastBackoff)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return nominal/2 + time.Duration(b.rng.Int64N(int64(nominal/2)+1))
}
