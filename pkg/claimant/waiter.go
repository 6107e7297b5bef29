package claimant

import (
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// ticket joins one waiting caller to the duty. Exactly one side closes it: the duty
// with an answer, or the caller by leaving. Without that a grant and a deadline at
// the same moment would both win, and the slot would stay taken with nobody to run it.
type ticket struct {
	req    sched.Request
	since  time.Time
	closed atomic.Bool
	answer chan answer // holds one
	claim  *claim      // the duty's
}

// answer is a slot or an error.
type answer struct {
	slot *slot
	err  *verdict.Error
}

func newTicket(r sched.Request, now time.Time) *ticket {
	t := &ticket{req: r, since: now, answer: make(chan answer, 1)}
	if !r.Since.IsZero() && r.Since.Before(now) {
		t.since = r.Since
	}
	return t
}

// resolve answers the caller; false when it has left.
func (t *ticket) resolve(a answer) bool {
	if !t.closed.CompareAndSwap(false, true) {
		return false
	}
	t.answer <- a
	return true
}

// leave withdraws the caller; false when an answer is there.
func (t *ticket) leave() bool { return t.closed.CompareAndSwap(false, true) }
