package daemon

import (
	"github.com/flamingowind/flamingowind/pkg/member"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// lives remembers the life of each peer, to notice restarts. A keeper that restarted
// between two looks at the membership keeps the same cells and knows nothing of the
// claims it was sent before; without the notice they would wait for their next copy.
type lives map[wire.RouterID]uint64

// restarted gives the peers that came back in a new life since the last call.
func (l lives) restarted(view *member.View) []wire.RouterID {
	var again []wire.RouterID
	for _, m := range view.Members {
		life := member.Life(m.Incarnation)
		if before, known := l[m.ID]; known && before != life {
			again = append(again, m.ID)
		}
		l[m.ID] = life
	}
	return again
}
