package fair

import (
	"container/heap"
	"container/list"
	"math"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Order is the fair queue: the counters of all organisations and their waiting entries.
type Order[T any] struct {
	accounts map[string]*account
	backlog  accountHeap
	waiting  int
	// lastBacklogged is the account that most recently ceased to be backlogged.
	lastBacklogged *account
	// blocked holds the accounts that Pick passes over; it is reused to avoid allocations.
	blocked []*account
}

// New returns an empty order.
func New[T any]() *Order[T] {
	return &Order[T]{accounts: make(map[string]*account)}
}

func (o *Order[T]) account(org string) *account {
	a := o.accounts[org]
	if a == nil {
		a = newAccount(org)
		o.accounts[org] = a
	}
	return a
}

// Push adds an entry to its organisation's lane. An organisation that becomes
// backlogged by it is lifted to the current level.
func (o *Order[T]) Push(e *Entry[T]) {
	a := o.account(e.Org)
	e.lane = &a.lanes[e.laneIndex()]
	e.element = insertByAge(&e.lane.queue, e)
	o.waiting++
	a.waiting++
	if a.waiting == 1 {
		a.lift(o.liftLevel())
		heap.Push(&o.backlog, a)
	}
}

// insertByAge inserts the entry behind those that have waited longer, so that work which
// comes from another queue keeps its place. The search is bounded: after a failover
// thousands of entries arrive in any order, and an approximate order is enough.
func insertByAge[T any](q *list.List, e *Entry[T]) *list.Element {
	at := q.Back()
	for n := 0; at != nil && n < maxInsertScan && e.WaitingSince.Before(at.Value.(*Entry[T]).WaitingSince); n++ {
		at = at.Prev()
	}
	if at == nil {
		return q.PushFront(e)
	}
	return q.InsertAfter(e, at)
}

// liftLevel is the counter of the next organisation; a newly backlogged organisation must
// not start below it. Without the lift an organisation that was idle for an hour would
// return with an hour's credit and block all others until it had used it.
func (o *Order[T]) liftLevel() float64 {
	switch {
	case len(o.backlog) > 0:
		return o.backlog[0].virtual
	case o.lastBacklogged != nil:
		return o.lastBacklogged.virtual
	default:
		return 0
	}
}

// Remove takes out a waiting entry without serving it.
func (o *Order[T]) Remove(e *Entry[T]) {
	if e.element == nil {
		return
	}
	a := o.accounts[e.Org]
	e.lane.queue.Remove(e.element)
	if e.lane.queue.Len() == 0 {
		e.lane.passedOver = 0
	}
	e.element, e.lane = nil, nil
	o.waiting--
	a.waiting--
	if a.waiting == 0 && a.heapIndex >= 0 {
		heap.Remove(&o.backlog, a.heapIndex)
		o.lastBacklogged = a
	}
}

// Isolate moves a waiting entry to its organisation's lane for isolated entries.
func (o *Order[T]) Isolate(e *Entry[T]) {
	if e.element == nil || e.Isolated {
		return
	}
	a := o.accounts[e.Org]
	e.lane.queue.Remove(e.element)
	e.Isolated = true
	e.lane = &a.lanes[laneIsolated]
	e.element = e.lane.queue.PushBack(e)
}

// Pick removes and returns the next entry in the fair order that usable accepts, or nil
// when there is none. The caller charges the service. An organisation is passed over for
// this pick when none of its first entries is usable: holding the slot for it would idle
// capacity while others wait.
func (o *Order[T]) Pick(usable func(*Entry[T]) bool) *Entry[T] {
	check := func(at *list.Element) bool { return usable(at.Value.(*Entry[T])) }
	o.blocked = o.blocked[:0]
	var found *Entry[T]
	for len(o.backlog) > 0 {
		a := o.backlog[0]
		if at := a.firstUsable(check); at != nil {
			found = at.Value.(*Entry[T])
			a.notePick(found.lane)
			break
		}
		o.blocked = append(o.blocked, a)
		heap.Pop(&o.backlog)
	}
	for _, a := range o.blocked {
		heap.Push(&o.backlog, a)
	}
	if found != nil {
		o.Remove(found)
	}
	return found
}

// Expect adds to the service that the organisation's running work is still expected to
// take; negative units say that it was delivered, or won't be.
//
// Without it the organisation with the smallest counter would get every free slot until
// its requests deliver their first tokens. If the prediction were charged to the counter
// instead, an overestimate would be credited back later, and an organisation that was
// lifted to the inflated counters in the meantime would starve until the others caught up.
func (o *Order[T]) Expect(org string, units wire.Units) {
	if math.IsNaN(units) || math.IsInf(units, 0) {
		return
	}
	a := o.account(org)
	a.expected = max(a.expected+units/a.weight, 0)
	o.reorder(a)
}

// Charge adds units of service to the organisation's counter; negative units are a credit.
func (o *Order[T]) Charge(org string, units wire.Units) {
	if math.IsNaN(units) || math.IsInf(units, 0) {
		return
	}
	a := o.account(org)
	a.charge(units)
	o.reorder(a)
}

// Merge raises the counter to virtual if that is larger. Merging is idempotent and
// commutative, so duplicated or reordered reports do no harm.
func (o *Order[T]) Merge(org string, virtual wire.Units) {
	if math.IsNaN(virtual) || math.IsInf(virtual, 0) {
		return
	}
	a := o.account(org)
	a.virtual = max(a.virtual, virtual)
	o.reorder(a)
}

func (o *Order[T]) reorder(a *account) {
	if a.heapIndex >= 0 {
		heap.Fix(&o.backlog, a.heapIndex)
	}
}
