package gatewayd

import "github.com/uber-go/tally/v4"

// holds counts upstreams that were kept though they were missing from the list.
type holds struct {
	count   func() int64
	counter tally.Counter
	told    int64
}

func (h *holds) tell() {
	now := h.count()
	h.counter.Inc(now - h.told)
	h.told = now
}
