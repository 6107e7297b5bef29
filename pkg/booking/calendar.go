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

// turn returns the time that a prompt has to wait before it is sent, so that it doesn't lengthen the
// run beyond the limit, and whether it begins a new run. A prompt that joins a run which is still to
// begin waits for that: sent sooner, it would fill the break before it.
func (c *calendar) turn(now time.Time, prefill time.Duration, l limits) (delay time.Duration, begins bool) {
	if !c.continues(now, l) {
		return 0, true
	}
	delay = max(0, c.start.Sub(now))
	if c.endWith(now.Add(delay), prefill).Sub(c.start) <= l.run {
		return delay, false
	}
	return c.end.Add(l.pause).Sub(now), true
}

// endWith is the end of the run with a prompt that is sent at that time.
func (c *calendar) endWith(at time.Time, prefill time.Duration) time.Time {
	return at.Add(c.remaining(at) + prefill)
}

// book adds a prompt to the run, or begins a new one with it, and returns its delay.
func (c *calendar) book(now time.Time, prefill time.Duration, l limits) time.Duration {
	delay, begins := c.turn(now, prefill, l)
	at := now.Add(delay)
	if begins {
		c.start, c.end = at, at
	}
	c.end = c.endWith(at, prefill)
	return delay
}
