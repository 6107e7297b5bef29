package forward

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// EachConnected calls mark with each i below n for which an idle connection to instance(i) may be
// used. It may turn out to be closed when it is used.
//
// It is called for each request with all candidates, so it takes one lock and allocates nothing.
// mark and instance must not use the Pools.
func (ps *Pools) EachConnected(n int, instance func(i int) *upstream.Instance, mark func(i int), now time.Time) {
	since := int64(now.Sub(ps.created))
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for i := range n {
		if p := ps.byInstance[instance(i)]; p != nil && p.idleUntil.Load() > since {
			mark(i)
		}
	}
}
