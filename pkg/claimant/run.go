package claimant

import (
	"context"
	"time"
)

const (
	// ticksPerReport is how often per report interval time-driven work is done.
	ticksPerReport = 5
	// maxBatch bounds the events handled in one iteration before messages are sent.
	maxBatch = 256
)

// Run is the claimant's event loop. It returns when ctx ends; requests that still wait
// then are refused as not run.
func (c *Claimant) Run(ctx context.Context) {
	defer close(c.stopped)
	m := newStateMachine(c, c.directory, c.options)
	ticks := time.NewTicker(c.options.ReportInterval / ticksPerReport)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.messages:
			e.apply(m, time.Now())
		case e := <-c.callerEvents:
			e.apply(m, time.Now())
		case <-c.wake:
			m.refreshKeepers(time.Now())
		case <-ticks.C:
			m.tick(time.Now())
		}
		c.drainBatch(m)
		m.out.flush(c.sender)
	}
}

// drainBatch handles the events that have arrived meanwhile, so that their messages go out
// in the same frames.
func (c *Claimant) drainBatch(m *stateMachine) {
	for range maxBatch {
		select {
		case e := <-c.messages:
			e.apply(m, time.Now())
		case e := <-c.callerEvents:
			e.apply(m, time.Now())
		default:
			return
		}
	}
}
