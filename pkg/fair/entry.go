package fair

import (
	"container/list"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Entry is one waiting unit of work, such as a request.
type Entry[T any] struct {
	Org   string
	Class wire.Class
	// Isolated entries wait in a lane of their own: they need a rare condition (an idle
	// upstream) and must not block their organisation's other work.
	Isolated bool
	// WaitingSince is when the work began to wait; it orders the entries of a lane.
	WaitingSince time.Time
	Value        T

	lane    *lane
	element *list.Element
}

// Waiting reports whether the entry is in the order.
func (e *Entry[T]) Waiting() bool { return e.element != nil }

func (e *Entry[T]) laneIndex() int {
	if e.Isolated {
		return laneIsolated
	}
	return min(laneUrgent+int(e.Class), laneBatch)
}
