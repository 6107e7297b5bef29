package claimant

import (
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// waiter connects one waiting caller with the event loop. Exactly one side closes it: the
// event loop with an answer, or the caller by leaving. Otherwise a grant and a deadline at
// the same moment could both win, and the slot would stay occupied with nothing to run.
type waiter struct {
	req        sched.Request
	acceptedAt time.Time
	closed     atomic.Bool
	answer     chan answer // buffered, for one answer
	claim      *claim      // owned by the event loop
}

// answer is a slot or an error.
type answer struct {
	slot *slot
	err  *verdict.Error
}

func newWaiter(r sched.Request, now time.Time) *waiter {
	w := &waiter{req: r, acceptedAt: now, answer: make(chan answer, 1)}
	if !r.AcceptedAt.IsZero() && r.AcceptedAt.Before(now) {
		w.acceptedAt = r.AcceptedAt
	}
	return w
}

// resolve answers the caller; false when it has left.
func (w *waiter) resolve(a answer) bool {
	if !w.closed.CompareAndSwap(false, true) {
		return false
	}
	w.answer <- a
	return true
}

// leave withdraws the caller; false when it has an answer already.
func (w *waiter) leave() bool { return w.closed.CompareAndSwap(false, true) }
