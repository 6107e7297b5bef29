package buffers

import "sync/atomic"

// Limits of a Budget.
const (
	// memoryShare is the part of a router's memory that responses may use for buffers, bodyShare the part for
	// request bodies, headShare the part for their heads. The rest is for connections, the configuration and the kernel.
	memoryShare = 1.0 / 16
	bodyShare   = 3.0 / 16
	headShare   = 1.0 / 16
	// minLimit, in bytes, fits some events of the largest size.
	minLimit = 4 << 20
	// minBodyLimit, in bytes, fits some bodies of the usual maximum.
	minBodyLimit = 8 << 20
	// minHeadLimit, in bytes, fits some heads of the usual maximum.
	minHeadLimit = 2 << 20
	// DefaultLimit, DefaultBodyLimit and DefaultHeadLimit apply where the router's memory isn't known, in bytes.
	DefaultLimit     = 32 << 20
	DefaultBodyLimit = 96 << 20
	DefaultHeadLimit = 32 << 20
)

// LimitFor returns the limit for responses, in bytes, of a router with that much memory; 0 if that isn't known.
func LimitFor(memory int64) int64 {
	if memory <= 0 {
		return DefaultLimit
	}
	return max(minLimit, int64(float64(memory)*memoryShare))
}

// BodyLimitFor returns the limit for request bodies. They have an account of their own, as they would otherwise
// leave no room for the responses to those that were passed on.
func BodyLimitFor(memory int64) int64 {
	if memory <= 0 {
		return DefaultBodyLimit
	}
	return max(minBodyLimit, int64(float64(memory)*bodyShare))
}

// HeadLimitFor returns the limit for the heads of requests.
func HeadLimitFor(memory int64) int64 {
	if memory <= 0 {
		return DefaultHeadLimit
	}
	return max(minHeadLimit, int64(float64(memory)*headShare))
}

// Budget bounds the bytes that all leases hold together. It has no lock, since every request uses it.
type Budget struct {
	limit, used atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := new(Budget)
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. What leases hold already stays.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Limit returns the limit in bytes, Used what is taken of it.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Used returns the bytes that all leases hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// take takes n bytes if there is room for them. It never takes them only to give them back, which would refuse
// others meanwhile.
func (b *Budget) take(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit.Load() {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}
