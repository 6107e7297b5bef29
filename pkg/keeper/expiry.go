package keeper

import (
	"container/heap"
	"time"
)

// expiryHeap is a heap of waiting claims by the time when they expire, so that a sweep does
// no work for claims that haven't expired.
type expiryHeap []*claim

func (x expiryHeap) Len() int           { return len(x) }
func (x expiryHeap) Less(i, j int) bool { return x[i].expiresAt.Before(x[j].expiresAt) }

func (x expiryHeap) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].heapIndex, x[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (x *expiryHeap) Push(v any) {
	c := v.(*claim)
	c.heapIndex = len(*x)
	*x = append(*x, c)
}

// Pop implements heap.Interface.
func (x *expiryHeap) Pop() any {
	old := *x
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*x = old[:len(old)-1]
	c.heapIndex = notInHeap
	return c
}

// notInHeap is the heapIndex of a claim that isn't in the heap.
const notInHeap = -1

// set adds, moves or removes a claim as its expiry changes; the zero time removes it.
func (x *expiryHeap) set(c *claim, expiresAt time.Time) {
	c.expiresAt = expiresAt
	switch {
	case expiresAt.IsZero():
		x.remove(c)
	case c.heapIndex == notInHeap:
		heap.Push(x, c)
	default:
		heap.Fix(x, c.heapIndex)
	}
}

func (x *expiryHeap) remove(c *claim) {
	if c.heapIndex != notInHeap {
		heap.Remove(x, c.heapIndex)
	}
}

// due returns an expired claim, nil when there is none.
func (x expiryHeap) due(now time.Time) *claim {
	if len(x) > 0 && x[0].expired(now) {
		return x[0]
	}
	return nil
}
