package fair

import "container/list"

const (
	// maxPassed is how often a class is passed over by more urgent ones of its own
	// organisation before its oldest entry goes first. Without it an organisation's
	// steady urgent work would keep its batch work waiting for ever; with it each
	// waiting class gets at least one in maxPassed+lanes grants.
	maxPassed = 8
	// maxScan bounds the entries of one lane that a pick looks at, when the first ones
	// can't use what is free.
	maxScan = 8
	// maxWalk bounds the search for an entry's place in its lane.
	maxWalk = 64
)

// account is one organisation's counter and queues.
type account struct {
	org     string
	weight  float64
	virtual float64
	// floor is the level the organisation was lifted to (or above) when it last became
	// backlogged. A credit for work from before the lift must not take the counter under
	// it: that would be hoarded credit.
	floor   float64
	lanes   [lanes]lane
	waiting int
	heapAt  int // place in the heap of backlogged accounts, -1 when not in it
}

func newAccount(org string) *account {
	return &account{org: org, weight: 1, heapAt: -1}
}

func (a *account) charge(units float64) {
	a.virtual = max(a.virtual+units/a.weight, a.floor)
}

func (a *account) lift(level float64) {
	a.floor = level
	a.virtual = max(a.virtual, level)
}

// order gives the lanes in the order to try: a lane passed over too often first.
func (a *account) order() [lanes]int {
	o := [lanes]int{laneAside, laneUrgent, laneNormal, laneBatch}
	for i := laneUrgent; i < lanes; i++ {
		if a.lanes[i].passed >= maxPassed {
			copy(o[1:i+1], o[:i])
			o[0] = i
		}
	}
	return o
}

// find looks for the first entry that can be used now.
func (a *account) find(usable func(*list.Element) bool) *list.Element {
	for _, i := range a.order() {
		at := a.lanes[i].queue.Front()
		for n := 0; at != nil && n < maxScan; n++ {
			if usable(at) {
				return at
			}
			at = at.Next()
		}
	}
	return nil
}

// served counts the lanes that a pick from l passed over.
func (a *account) served(l *lane) {
	for i := range a.lanes {
		other := &a.lanes[i]
		if other != l && other.queue.Len() > 0 {
			other.passed++
		}
	}
	l.passed = 0
}
