package booking

import "time"

// calendar is the newest run of booked prompts at an engine: they are prefilled back to back from
// start until end.
type calendar struct {
	start, end time.Time
}

// remaining is the time until the run ends.
func (c *calendar) remaining(now time.Time) time.Duration { return max(0, c.end.Sub(now)) }

// continues reports whether a prompt that is sent at that time still belongs to the run.
func (c *calendar) continues(at time.Time, l limits) bool { return at.Before(c.end.Add(l.pause)) }

// delay is the time that a prompt has to wait before it is sent, so that it doesn't lengthen the
// run beyond the limit.
func (c *calendar) delay(now time.Time, prefill time.Duration, l limits) time.Duration {
	if !c.continues(now, l) {
		return 0
	}
	end := now.Add(c.remaining(now) + prefill)
	if end.Sub(c.start) <= l.run {
		return 0
	}
	return c.end.Add(l.pause).Sub(now)
}

// book adds a prompt to the run, or begins a new one with it, and returns its delay.
func (c *calendar) book(now time.Time, prefill time.Duration, l limits) time.Duration {
	delay := c.delay(now, prefill, l)
	at := now.Add(delay)
	if delay > 0 || !c.continues(at, l) {
		c.start, c.end = at, at
	}
	c.end = at.Add(max(0, c.end.Sub(at)) + prefill)
	return delay
}
