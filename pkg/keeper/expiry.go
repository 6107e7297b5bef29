package keeper

import (
	"container/heap"
	"time"
)

// expiry holds the waiting claims by the time from which they aren't worth granting, so
// that thousands of waiting claims cost a sweep nothing until they are due.
type expiry []*claim

func (x expiry) Len() int           { return len(x) }
func (x expiry) Less(i, j int) bool { return x[i].until.Before(x[j].until) }

func (x expiry) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].expiryAt, x[j].expiryAt = i, j
}

// Push implements heap.Interface.
func (x *expiry) Push(v any) {
	c := v.(*claim)
	c.expiryAt = len(*x)
	*x = append(*x, c)
}

// Pop implements heap.Interface.
func (x *expiry) Pop() any {
	old := *x
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*x = old[:len(old)-1]
	c.expiryAt = noExpiry
	return c
}

// noExpiry is the place of a claim that isn't in the heap.
const noExpiry = -1

// set enters, moves or takes out a claim after its until changed.
func (x *expiry) set(c *claim, until time.Time) {
	c.until = until
	switch {
	case until.IsZero():
		x.remove(c)
	case c.expiryAt == noExpiry:
		heap.Push(x, c)
	default:
		heap.Fix(x, c.expiryAt)
	}
}

func (x *expiry) remove(c *claim) {
	if c.expiryAt != noExpiry {
		heap.Remove(x, c.expiryAt)
	}
}

// due returns a claim that expired, nil when there is none.
func (x expiry) due(now time.Time) *claim {
	if len(x) > 0 && x[0].expired(now) {
		return x[0]
	}
	return nil
}
