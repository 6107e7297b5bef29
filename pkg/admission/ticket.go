package admission

import (
	"container/list"
	"time"
)

// ticket is a connection that was accepted.
type ticket struct {
	since time.Time
	// place is where it stands among those that wait; nil once it has its turn.
	place *list.Element
	// entered is whether it waits for its turn by now, called is closed when that has come.
	entered bool
	called  chan struct{}
	// holds is whether it takes one of the turns that are given at once.
	holds bool
}
