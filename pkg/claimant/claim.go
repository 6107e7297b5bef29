package claimant

import (
	"container/list"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Bounds of the backoff between copies of an unanswered claim.
const (
	minResend = time.Second
	maxResend = 8 * time.Second
)

// claim is a request that waits for a grant.
type claim struct {
	id       wire.ClaimID
	waiter   *waiter
	cell     *cell
	element  *list.Element // in cell.waiting
	placedAt time.Time     // when it was placed in this cell
	exclude  []string
	// firstCopies holds, for each keeper that was asked, when the first copy was sent.
	firstCopies []firstCopy
	// listedSeq is the first report that listed the claim since its last copy; 0 for none.
	listedSeq     uint64
	resendAt      time.Time
	resendBackoff time.Duration
	retries       int // grants that were returned unused
	refusals      int // by cells of the pool
}

// firstCopy records when a claim's first copy was sent to a keeper.
type firstCopy struct {
	keeper wire.RouterID
	at     time.Time
}

func (c *claim) firstSentAt(keeper wire.RouterID) (time.Time, bool) {
	for _, f := range c.firstCopies {
		if f.keeper == keeper {
			return f.at, true
		}
	}
	return time.Time{}, false
}

// message returns a copy of the claim for the wire.
func (c *claim) message(now time.Time) wire.Claim {
	r := &c.waiter.req
	m := wire.Claim{
		ID:      c.id,
		Cell:    c.cell.id,
		Org:     r.Org,
		Class:   r.Class,
		Prefix:  r.PrefixHash,
		Content: r.ContentHash,
		AgeMs:   millis(now.Sub(c.waiter.acceptedAt)),
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
