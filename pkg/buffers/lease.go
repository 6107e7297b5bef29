package buffers

// FreeBytes is what a lease holds without taking it from its budget, in bytes. It fits usual heads,
// answers and events, which therefore pass while the budget is used up by others.
const FreeBytes = 16 << 10

// Lease is one holder's part of a budget. One goroutine at a time uses it. The zero value, without a
// budget, isn't bounded.
type Lease struct {
	budget *Budget
	taken  int64
}

// Lease returns a lease that holds nothing.
func (b *Budget) Lease() Lease { return Lease{budget: b} }

// Hold changes what the lease holds to n bytes. It returns false if the budget has no room for them; the
// lease then holds what it held before.
func (l *Lease) Hold(n int64) bool {
	charged := max(0, n-FreeBytes)
	more := charged - l.taken
	if l.budget == nil || more == 0 {
		return true
	}
	if more < 0 {
		l.budget.used.Add(more)
	} else if !l.budget.take(more) {
		return false
	}
	l.taken = charged
	return true
}

// Release gives back what the lease holds.
func (l *Lease) Release() { l.Hold(0) }
