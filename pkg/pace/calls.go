package pace

import (
	"sync"
	"time"
)

// Figures of Calls.
const (
	// callWeight is the share of the newest call in the mean: about the last fifty count.
	callWeight = 0.04
	// leastCalls is the number of calls from which on the mean is gone by.
	leastCalls = 5
)

// Calls learns how long calls without a prompt take, by service. The zero value is ready.
//
// Load pattern: calls come in clumps, and all slots of a service are taken for some
// milliseconds. Where a call is taken to last ten times as long as it does, most of what waits is
// refused while it would have been served in time.
type Calls struct {
	mu sync.Mutex
	of map[string]*calls
}

type calls struct {
	// mean is the time that a call takes once it has a slot, in seconds, over count calls.
	mean  float64
	count int
}

func (c *Calls) service(name string) *calls {
	if c.of == nil {
		c.of = make(map[string]*calls)
	}
	s := c.of[name]
	if s == nil {
		s = new(calls)
		c.of[name] = s
	}
	return s
}

// Observe notes a call that took a time at an instance with slots, where waiting others were
// believed to wait for one. Each waits for a slots-th part of a call.
func (c *Calls) Observe(service string, took time.Duration, waiting, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	call := took.Seconds() / (1 + float64(max(0, waiting))/float64(max(1, slots)))
	s.count++
	weight := max(callWeight, 1/float64(s.count))
	s.mean += (call - s.mean) * weight
}

// Mean is the time that a call of a service takes; 0 while it isn't known.
func (c *Calls) Mean(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of[service]
	if s == nil || s.count < leastCalls {
		return 0
	}
	return time.Duration(s.mean * float64(time.Second))
}
