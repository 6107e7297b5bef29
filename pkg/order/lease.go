package order

import "time"

// Lease is the right to order one engine.
type Lease struct {
	// Upstream names the engine, Fence is the lease's fencing number.
	Upstream string
	Fence    uint64

	holder  string
	expires time.Time
}

// Valid says whether the lease still holds, on this process's monotonic clock.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining is the time left.
func (l *Lease) Remaining() time.Duration { return time.Until(l.expires) }
