package admission

import (
	"container/list"
	"time"
)

// waiter is an admitted connection in the queue for a read slot.
type waiter struct {
	admittedAt time.Time
	// element is its element in the queue; nil once it has a slot or has left.
	element *list.Element
	// requested is whether it has requested a slot, granted is closed once it has one or is
	// removed.
	requested bool
	granted   chan struct{}
	// holdsSlot is whether it holds a slot.
	holdsSlot bool
}
