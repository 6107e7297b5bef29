package fair

import "container/list"

const (
	// maxPassedOver is how often the more urgent lanes of an organisation may be served
	// before a waiting lane goes first. Without it an organisation's steady urgent work
	// would starve its batch work; with it each waiting lane gets at least one in
	// maxPassedOver+laneCount grants.
	maxPassedOver = 8
	// maxPickScan bounds the entries of one lane that a pick examines when the first ones
	// can't use the free capacity.
	maxPickScan = 8
	// maxInsertScan bounds the search for an entry's position in its lane.
	maxInsertScan = 64
)

// account holds one organisation's virtual counter and queues.
type account struct {
	org     string
	weight  float64
	virtual float64 // service received, divided by the weight
	// expected is the service that running work is still expected to take, divided by
	// the weight.
	expected float64
	// floor is the counter level to which the organisation was lifted when it last became
	// backlogged. A credit for work from before the lift must not take the counter below
	// it: the organisation would have saved up credit while it was idle.
	floor     float64
	lanes     [laneCount]lane
	waiting   int
	heapIndex int // index in the heap of backlogged accounts; -1 when not in it
}

func newAccount(org string) *account {
	return &account{org: org, weight: 1, heapIndex: -1}
}

func (a *account) charge(units float64) {
	a.virtual = max(a.virtual+units/a.weight, a.floor)
}

// key is the sort key of the backlogged accounts.
func (a *account) key() float64 { return a.virtual + a.expected }

func (a *account) lift(level float64) {
	a.floor = level
	a.virtual = max(a.virtual, level)
}

// laneOrder returns the lanes in the order to try: a lane passed over too often comes first.
func (a *account) laneOrder() [laneCount]int {
	o := [laneCount]int{laneIsolated, laneUrgent, laneNormal, laneBatch}
	for i := laneUrgent; i < laneCount; i++ {
		if a.lanes[i].passedOver >= maxPassedOver {
			copy(o[1:i+1], o[:i])
			o[0] = i
		}
	}
	return o
}

// firstUsable returns the first entry that can use the free capacity, or nil.
func (a *account) firstUsable(usable func(*list.Element) bool) *list.Element {
	for _, i := range a.laneOrder() {
		at := a.lanes[i].queue.Front()
		for n := 0; at != nil && n < maxPickScan; n++ {
			if usable(at) {
				return at
			}
			at = at.Next()
		}
	}
	return nil
}

// notePick counts a pick from l against the other lanes with waiting entries.
func (a *account) notePick(l *lane) {
	for i := range a.lanes {
		other := &a.lanes[i]
		if other != l && other.queue.Len() > 0 {
			other.passedOver++
		}
	}
	l.passedOver = 0
}
