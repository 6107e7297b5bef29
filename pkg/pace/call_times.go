package pace

import (
	"sync"
	"time"
)

// Parameters of CallTimes.
const (
	// minCallWeight is the weight of the newest call in the mean: about the last fifty calls count.
	minCallWeight = 0.04
	// minCalls is the number of calls from which on the mean is used.
	minCalls = 5
)

// CallTimes learns how long calls without a prompt take, by service. The zero value is ready to
// use.
//
// Calls arrive in bursts, and all slots of a service are in use for some milliseconds. If a call
// were assumed to last ten times as long as it does, most waiting calls would be refused that could
// be served in time.
type CallTimes struct {
	mu        sync.Mutex
	byService map[string]*callMean
}

type callMean struct {
	// mean is the time in seconds that a call takes once it has a slot, over count calls.
	mean  float64
	count int
}

func (c *CallTimes) service(name string) *callMean {
	if c.byService == nil {
		c.byService = make(map[string]*callMean)
	}
	s := c.byService[name]
	if s == nil {
		s = new(callMean)
		c.byService[name] = s
	}
	return s
}

// Observe records the duration of a call at an instance with slots, where waiting other calls were
// expected to wait for one. Each of them adds the duration of a call divided by the number of
// slots.
func (c *CallTimes) Observe(service string, duration time.Duration, waiting, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	call := duration.Seconds() / (1 + float64(max(0, waiting))/float64(max(1, slots)))
	s.count++
	weight := max(minCallWeight, 1/float64(s.count))
	s.mean += (call - s.mean) * weight
}

// Mean is the time that a call of a service takes; 0 while it isn't known.
func (c *CallTimes) Mean(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.byService[service]
	if s == nil || s.count < minCalls {
		return 0
	}
	return time.Duration(s.mean * float64(time.Second))
}
