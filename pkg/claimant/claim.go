package claimant

import (
	"container/list"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Backoff between copies of a claim that nobody has answered.
const (
	minResend = time.Second
	maxResend = 8 * time.Second
)

// claim is a request that waits for a grant.
type claim struct {
	id      wire.ClaimID
	ticket  *ticket
	cell    *cell
	place   *list.Element // in cell.waiting
	placed  time.Time     // when it came to this cell
	exclude []string
	// firsts holds, for each keeper that has been asked, when the first copy was sent.
	firsts []firstCopy
	// listed is the first report that listed the claim since its last copy; 0 for none.
	listed   uint64
	resendAt time.Time
	resend   time.Duration
	retries  int // grants that came to nothing
	refusals int // by cells of the pool
}

// firstCopy is the sending of a claim's first copy to one keeper.
type firstCopy struct {
	keeper wire.RouterID
	at     time.Time
}

func (c *claim) first(keeper wire.RouterID) (time.Time, bool) {
	for _, f := range c.firsts {
		if f.keeper == keeper {
			return f.at, true
		}
	}
	return time.Time{}, false
}

// message is a copy of the claim for the wire.
func (c *claim) message(now time.Time) wire.Claim {
	r := &c.ticket.req
	m := wire.Claim{
		ID:      c.id,
		Cell:    c.cell.id,
		Org:     r.Org,
		Class:   r.Class,
		Prefix:  r.PrefixHash,
		Content: r.ContentHash,
		AgeMs:   millis(now.Sub(c.ticket.since)),
		Exclude: c.exclude,
	}
	if !r.Deadline.IsZero() {
		m.WaitMs = max(1, millis(r.Deadline.Sub(now)))
	}
	return m
}

func millis(d time.Duration) uint32 {
	const largest = 1<<32 - 1
	return uint32(min(max(d.Milliseconds(), 0), largest))
}
