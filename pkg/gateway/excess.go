package gateway

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// excessLogInterval is the shortest time between two log lines about responses that exceed a bound.
// Upstreams in trouble send them as fast as requests are placed.
const excessLogInterval = time.Second

// excessLog limits the log lines about responses that exceed a bound.
type excessLog struct {
	// next is when the next line may be written, in Unix nanoseconds; left counts those left out since the
	// last one.
	next, left atomic.Int64
}

// allow reports whether a line may be written now, and how many were left out before it.
func (l *excessLog) allow(now time.Time) (ok bool, left int64) {
	next := l.next.Load()
	if now.UnixNano() < next || !l.next.CompareAndSwap(next, now.Add(excessLogInterval).UnixNano()) {
		l.left.Add(1)
		return false, 0
	}
	return true, l.left.Swap(0)
}

// Bounds of all responses together, as metrics and logs name them.
const (
	// boundMemory counts the responses that were cut off or dropped for lack of memory.
	boundMemory = "memory"
	// boundUnbuffered counts those that were relayed as they arrived for lack of memory, and so weren't retried.
	boundUnbuffered = "memory_unbuffered"
)

// recordExcess counts and logs a response that ended because it exceeded a bound.
func (g *Gateway) recordExcess(r *request, inst *upstream.Instance, err error) {
	var excess *forward.ExcessError
	bound := boundMemory
	switch {
	case errors.As(err, &excess):
		bound = string(excess.Bound)
	case !errors.Is(err, forward.ErrNoBuffer):
		return
	}
	g.metrics.excess.count(bound, string(r.route.Kind))
	ok, left := g.excessLog.allow(time.Now())
	if !ok {
		return
	}
	g.log.WithFields(log.Fields{"event": "response_exceeds_bound", "bound": bound, "instance": inst.ID, "request": r.meta.RequestID, "not_logged": left}).
		WithError(err).Warn("a response exceeds a bound and was cut off")
}
