package operator

import (
	"context"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Fleet is the member view of this router.
type Fleet interface {
	// Members lists all known routers, this one included.
	Members() []wire.Member
}

// observeEvery is how often the member view is looked at.
const observeEvery = 500 * time.Millisecond

// Observer remembers since when each router has its version in force, as seen from
// here and on this router's clock.
type Observer struct {
	mu   sync.Mutex
	seen map[wire.RouterID]sighting
}

type sighting struct {
	version     uint64
	incarnation wire.Incarnation
	since       time.Time
}

// NewObserver returns an Observer that has seen nothing.
func NewObserver() *Observer { return &Observer{seen: make(map[wire.RouterID]sighting)} }

// Run observes fleet until ctx ends.
func (o *Observer) Run(ctx context.Context, fleet Fleet) {
	ticker := time.NewTicker(observeEvery)
	defer ticker.Stop()
	for {
		o.Observe(time.Now(), fleet.Members())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Observe notes the members' versions at now and forgets members that are gone.
func (o *Observer) Observe(now time.Time, members []wire.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[wire.RouterID]sighting, len(members))
	for _, m := range members {
		s, ok := o.seen[m.ID]
		if !ok || s.version != m.Version || s.incarnation != m.Incarnation {
			s = sighting{version: m.Version, incarnation: m.Incarnation, since: now}
		}
		next[m.ID] = s
	}
	o.seen = next
}

// Since tells since when id has had its version in force; zero when it wasn't seen.
func (o *Observer) Since(id wire.RouterID) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen[id].since
}
