package fair

import (
	"container/list"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Entry is one waiting piece of work.
type Entry[T any] struct {
	Org   string
	Class wire.Class
	// Aside entries wait in a lane of their own, so that work which needs rare conditions
	// (an idle upstream) doesn't hold up its organisation's other work.
	Aside bool
	// Since is when the work began to wait; it orders entries of one class.
	Since time.Time
	Value T

	lane *lane
	at   *list.Element
}

// Waiting says that the entry is in the order.
func (e *Entry[T]) Waiting() bool { return e.at != nil }

func (e *Entry[T]) laneIndex() int {
	if e.Aside {
		return laneAside
	}
	return min(laneUrgent+int(e.Class), laneBatch)
}
