package claimant

import (
	"context"
	"time"
)

const (
	// ticksPerReport is how often time-driven work is looked at in a report interval.
	ticksPerReport = 5
	// maxBatch bounds the events taken in one turn before messages go out.
	maxBatch = 256
)

// Run is the claimant's duty. It returns when ctx ends; requests that still wait then
// are refused as not run.
func (c *Claimant) Run(ctx context.Context) {
	defer close(c.stopped)
	m := newMachine(c, c.directory, c.options)
	ticks := time.NewTicker(c.options.Report / ticksPerReport)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.messages:
			e.apply(m, time.Now())
		case e := <-c.calls:
			e.apply(m, time.Now())
		case <-c.wake:
			m.followKeepers(time.Now())
		case <-ticks.C:
			m.tick(time.Now())
		}
		c.more(m)
		m.out.flush(c.sender)
	}
}

// more takes what else has come, so that it goes out in the same frames.
func (c *Claimant) more(m *machine) {
	for range maxBatch {
		select {
		case e := <-c.messages:
			e.apply(m, time.Now())
		case e := <-c.calls:
			e.apply(m, time.Now())
		default:
			return
		}
	}
}
