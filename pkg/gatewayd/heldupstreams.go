package gatewayd

import "github.com/uber-go/tally/v4"

// heldUpstreams counts upstreams that were kept though they were missing from the list.
type heldUpstreams struct {
	count    func() int64
	counter  tally.Counter
	reported int64
}

func (h *heldUpstreams) report() {
	now := h.count()
	h.counter.Inc(now - h.reported)
	h.reported = now
}
