package gateway

import (
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

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
