package daemon

import (
	"slices"
	"sync/atomic"

	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Work that a few routers do for the fleet, chosen by rendezvous hashing.
const (
	sweepKey = "once/sweeper"
	sweepers = 1
)

// reach answers what the configuration asks of the membership. Each needs the other,
// so it is made before the membership and knows only itself until then.
type reach struct{ members atomic.Pointer[member.Duty] }

func newReach() *reach { return &reach{} }

func (r *reach) set(m *member.Duty) { r.members.Store(m) }

// Reachable implements config.Reach.
func (r *reach) Reachable() (alive, known int) {
	if m := r.members.Load(); m != nil {
		return m.View().Reachable()
	}
	return 1, 1
}

// Among implements config.Ranker.
func (r *reach) Among(key string, n int) bool {
	m := r.members.Load()
	if m == nil {
		return true
	}
	view := m.View()
	return slices.Contains(view.First(key, n), view.Self.ID)
}

// Members implements operator.Fleet.
func (r *reach) Members() []wire.Member {
	if m := r.members.Load(); m != nil {
		return m.View().Members
	}
	return nil
}
