package fair

import "github.com/flamingowind/flamingowind/pkg/wire"

// SetWeight sets the organisation's share relative to the others; a weight of 0 or less
// counts as 1.
func (o *Order[T]) SetWeight(org string, weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	a := o.account(org)
	a.expected *= a.weight / weight
	a.weight = weight
	o.reorder(a)
}

// Weight returns the organisation's weight; 1 for an unknown one.
func (o *Order[T]) Weight(org string) float64 {
	if a := o.accounts[org]; a != nil {
		return a.weight
	}
	return 1
}

// Forget removes an organisation and its counter unless entries of it wait.
func (o *Order[T]) Forget(org string) {
	if a := o.accounts[org]; a != nil && a.waiting == 0 {
		delete(o.accounts, org)
	}
}

// EachOrg calls f for each organisation that has a counter, in no particular order.
func (o *Order[T]) EachOrg(f func(org string)) {
	for org := range o.accounts {
		f(org)
	}
}

// EachBacklogged calls f for each organisation with waiting entries.
func (o *Order[T]) EachBacklogged(f func(org string)) {
	for _, a := range o.backlog {
		f(a.org)
	}
}

// Virtual returns the organisation's virtual counter.
func (o *Order[T]) Virtual(org string) wire.Units {
	if a := o.accounts[org]; a != nil {
		return a.virtual
	}
	return 0
}

// Expected returns the service that the organisation's running work is still expected to
// take.
func (o *Order[T]) Expected(org string) wire.Units {
	if a := o.accounts[org]; a != nil {
		return a.expected * a.weight
	}
	return 0
}

// Waiting returns the number of the organisation's waiting entries.
func (o *Order[T]) Waiting(org string) int {
	if a := o.accounts[org]; a != nil {
		return a.waiting
	}
	return 0
}

// Len returns the number of waiting entries.
func (o *Order[T]) Len() int { return o.waiting }

// Backlogged returns the number of organisations with waiting entries.
func (o *Order[T]) Backlogged() int { return len(o.backlog) }

// Contended reports whether an organisation other than org is backlogged.
func (o *Order[T]) Contended(org string) bool {
	return len(o.backlog) > 1 || len(o.backlog) == 1 && o.backlog[0].org != org
}

// Gap returns the difference between the largest and the smallest counter of the
// backlogged organisations.
func (o *Order[T]) Gap() wire.Units {
	if len(o.backlog) == 0 {
		return 0
	}
	largest := o.backlog[0].virtual
	for _, a := range o.backlog {
		largest = max(largest, a.virtual)
	}
	return largest - o.backlog[0].virtual
}
