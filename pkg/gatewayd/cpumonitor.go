package gatewayd

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// Figures of pressure.
const (
	// checkInterval is the pause between two looks; how late it ends shows how long work waits
	// for the processor.
	checkInterval = 20 * time.Millisecond
	// idleCheckInterval is that pause while no request is served: nothing waits for the processor then.
	idleCheckInterval = 250 * time.Millisecond
	// decayPerCheck is the part of the last delay that is kept over checkInterval: after a second
	// without delay nothing is left of it.
	decayPerCheck = 0.9
	// starvedDelay is the lateness from which on callers should go elsewhere. A host whose
	// share is a quota of each tenth of a second stands still for up to 90 ms once the
	// quota is used up.
	starvedDelay = 60 * time.Millisecond
)

// cpuMonitor tells whether the process gets too little processor for what it is asked.
//
// Guard: hosts are unequal, and one caller that sends much keeps its connections to the
// router that it once chose. A small host then falls behind without end: requests wait for
// seconds inside, run at upstreams after their callers have left, and fill the memory.
type cpuMonitor struct {
	delayNs atomic.Int64
	// connWait is how long a new connection waits for the CPU; nil where it is not measured. A
	// timer's goroutine may overtake a thousand others that wait.
	connWait func() time.Duration
	// idle reports whether no request is served; nil for never.
	idle func() bool
	// reported is whether the log says that the router is pressed.
	reported bool
}

// run looks until ctx ends.
func (p *cpuMonitor) run(ctx context.Context, l log.Interface) {
	tick := time.NewTimer(checkInterval)
	defer tick.Stop()
	for began := time.Now(); ; began = time.Now() {
		interval := p.interval()
		tick.Reset(interval)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.observe(max(time.Since(began)-interval, p.connDelay()), interval)
			p.report(l)
		}
	}
}

// interval is the time until the next look.
func (p *cpuMonitor) interval() time.Duration {
	if p.idle != nil && p.idle() && !p.starved() {
		return waiting.Aligned(time.Now(), idleCheckInterval)
	}
	return checkInterval
}

// connDelay is how long a new connection waits now.
func (p *cpuMonitor) connDelay() time.Duration {
	if p.connWait == nil {
		return 0
	}
	return p.connWait()
}

// observe notes how late a look came that was planned after pause.
func (p *cpuMonitor) observe(delay, interval time.Duration) {
	decayed := time.Duration(float64(p.delayNs.Load()) * math.Pow(decayPerCheck, interval.Seconds()/checkInterval.Seconds()))
	p.delayNs.Store(int64(max(delay, decayed)))
}

// report logs when the router becomes pressed and when it is no longer.
func (p *cpuMonitor) report(l log.Interface) {
	starved := p.starved()
	if starved == p.reported {
		return
	}
	p.reported = starved
	fields := log.Fields{"event": "relieved", "late_ms": time.Duration(p.delayNs.Load()).Milliseconds()}
	if starved {
		fields["event"] = "pressed"
	}
	l.WithFields(fields).Info("processor for what is asked")
}

// activePerMiB is how many requests are served at once for each MiB that the process may
// use. One costs up to 60 KB with its connections, and a third of the memory is for the
// rest.
const activePerMiB = 8

// overloaded reports whether requests should be refused as there are too many for the memory.
// What is too much for the processor is turned away before it is read, by package admission.
func (p *Process) overloaded() bool {
	limit := int64(p.settings.Load().Limits.MemoryMiB) * activePerMiB
	return limit > 0 && p.gateway.Active() > limit
}

// delay is how late work is that waits for the processor.
func (p *cpuMonitor) delay() time.Duration { return time.Duration(p.delayNs.Load()) }

// starved reports whether callers should go elsewhere.
func (p *cpuMonitor) starved() bool { return time.Duration(p.delayNs.Load()) > starvedDelay }
