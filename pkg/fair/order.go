package fair

import (
	"container/heap"
	"container/list"
	"math"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Order holds the counters of all organisations and their waiting entries.
type Order[T any] struct {
	accounts map[string]*account
	backlog  accountHeap
	waiting  int
	// left is the account that last ceased to be backlogged.
	left *account
	// blocked is scratch space of Pick.
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

// Push adds an entry to its organisation's lane. An organisation that
// becomes backlogged by it is lifted.
func (o *Order[T]) Push(e *Entry[T]) {
	a := o.account(e.Org)
	e.lane = &a.lanes[e.laneIndex()]
	e.at = insert(&e.lane.queue, e)
	o.waiting++
	a.waiting++
	if a.waiting == 1 {
		a.lift(o.level())
		heap.Push(&o.backlog, a)
	}
}

// insert adds the entry behind those that wait longer, so that work which moved here
// from elsewhere keeps its place. The walk is bounded: after a take-over thousands of
// entries come in any order, and roughly ordered is enough.
func insert[T any](q *list.List, e *Entry[T]) *list.Element {
	at := q.Back()
	for n := 0; at != nil && n < maxWalk && e.Since.Before(at.Value.(*Entry[T]).Since); n++ {
		at = at.Prev()
	}
	if at == nil {
		return q.PushFront(e)
	}
	return q.InsertAfter(e, at)
}

// level is the counter of whoever is next, below which a newly backlogged organisation must not start.
// Without the lift an organisation that idled for an hour would return with an hour's
// credit and hold all others up until it had used it.
func (o *Order[T]) level() float64 {
	switch {
	case len(o.backlog) > 0:
		return o.backlog[0].virtual
	case o.left != nil:
		return o.left.virtual
	default:
		return 0
	}
}

// Remove takes a waiting entry out without serving it.
func (o *Order[T]) Remove(e *Entry[T]) {
	if e.at == nil {
		return
	}
	a := o.accounts[e.Org]
	e.lane.queue.Remove(e.at)
	if e.lane.queue.Len() == 0 {
		e.lane.passed = 0
	}
	e.at, e.lane = nil, nil
	o.waiting--
	a.waiting--
	if a.waiting == 0 && a.heapAt >= 0 {
		heap.Remove(&o.backlog, a.heapAt)
		o.left = a
	}
}

// SetAside moves a waiting entry to its organisation's lane for rare conditions.
func (o *Order[T]) SetAside(e *Entry[T]) {
	if e.at == nil || e.Aside {
		return
	}
	a := o.accounts[e.Org]
	e.lane.queue.Remove(e.at)
	e.Aside = true
	e.lane = &a.lanes[laneAside]
	e.at = e.lane.queue.PushBack(e)
}

// Pick takes out the next entry in the fair order among those that usable accepts, nil
// when there is none. The caller charges. An organisation none of whose first entries
// is usable is passed over for this pick only: its work can't use what is free, and
// holding the slot for it would idle capacity while others wait.
func (o *Order[T]) Pick(usable func(*Entry[T]) bool) *Entry[T] {
	check := func(at *list.Element) bool { return usable(at.Value.(*Entry[T])) }
	o.blocked = o.blocked[:0]
	var found *Entry[T]
	for len(o.backlog) > 0 {
		a := o.backlog[0]
		if at := a.find(check); at != nil {
			found = at.Value.(*Entry[T])
			a.served(found.lane)
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

// Expect adds to what the organisation's running work is expected to take yet; negative
// units say that it was delivered, or won't be.
//
// Without it an organisation with the least counter would be given every slot that
// frees until the first tokens of all that work arrive. With it charged to the counter
// instead, a prediction that was too large is credited back later, and an organisation
// that was lifted to the inflated counters starves until the others have caught up.
func (o *Order[T]) Expect(org string, units wire.Units) {
	if math.IsNaN(units) || math.IsInf(units, 0) {
		return
	}
	a := o.account(org)
	a.expected = max(a.expected+units/a.weight, 0)
	o.moved(a)
}

// Charge adds units of service to the organisation's counter; negative units are a credit.
func (o *Order[T]) Charge(org string, units wire.Units) {
	if math.IsNaN(units) || math.IsInf(units, 0) {
		return
	}
	a := o.account(org)
	a.charge(units)
	o.moved(a)
}

// Merge raises the counter to virtual where that is larger. Merging is idempotent and
// commutative, so doubled or reordered reports do no harm.
func (o *Order[T]) Merge(org string, virtual wire.Units) {
	if math.IsNaN(virtual) || math.IsInf(virtual, 0) {
		return
	}
	a := o.account(org)
	a.virtual = max(a.virtual, virtual)
	o.moved(a)
}

func (o *Order[T]) moved(a *account) {
	if a.heapAt >= 0 {
		heap.Fix(&o.backlog, a.heapAt)
	}
}
