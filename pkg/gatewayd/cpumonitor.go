package gatewayd

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// Parameters of the CPU monitor.
const (
	// checkInterval is the time between two checks. The lateness of its timer shows how long work
	// waits for the CPU.
	checkInterval = 20 * time.Millisecond
	// idleCheckInterval is the time between two checks while no request is served: nothing waits
	// for the CPU then.
	idleCheckInterval = 250 * time.Millisecond
	// decayPerCheck is the part of the last delay that remains after checkInterval: a second
	// without delay leaves almost nothing of it.
	decayPerCheck = 0.9
	// starvedDelay is the delay above which callers are sent to other routers. A host with a CPU
	// quota for each 100 ms is throttled for up to 90 ms once the quota is used up.
	starvedDelay = 60 * time.Millisecond
)

// cpuMonitor detects that the process gets too little CPU for its load.
//
// Hosts are unequal, and a caller that sends much keeps its connections to the router that it
// once chose. Without the monitor a small host falls behind without end: requests wait in it for
// seconds, run at upstreams after their callers have left, and fill the memory.
type cpuMonitor struct {
	delayNs atomic.Int64
	// connWait returns how long a new connection waits for the CPU; nil where it is not measured.
	// It is needed because a timer's goroutine may overtake a thousand others that wait.
	connWait func() time.Duration
	// idle reports whether no request is served; nil for never.
	idle func() bool
	// reported is the state that was logged last: whether the router is CPU-starved.
	reported bool
}

// run measures the delay periodically until ctx ends.
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

// interval returns the time until the next check.
func (p *cpuMonitor) interval() time.Duration {
	if p.idle != nil && p.idle() && !p.starved() {
		return waiting.Aligned(time.Now(), idleCheckInterval)
	}
	return checkInterval
}

// connDelay returns how long a new connection waits for the CPU now.
func (p *cpuMonitor) connDelay() time.Duration {
	if p.connWait == nil {
		return 0
	}
	return p.connWait()
}

// observe records the delay of a check that was due after interval.
func (p *cpuMonitor) observe(delay, interval time.Duration) {
	decayed := time.Duration(float64(p.delayNs.Load()) * math.Pow(decayPerCheck, interval.Seconds()/checkInterval.Seconds()))
	p.delayNs.Store(int64(max(delay, decayed)))
}

// report logs when the router becomes CPU-starved and when it recovers.
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
	l.WithFields(fields).Info("CPU starvation changed")
}

// activePerMiB is the number of concurrent requests for each MiB of the memory limit. A request
// takes up to 60 KB with its connections, and a third of the memory is for everything else.
const activePerMiB = 8

// overloaded reports whether requests must be refused because too many are active for the memory.
// Package admission rejects what exceeds the CPU before it is read.
func (p *Process) overloaded() bool {
	limit := int64(p.settings.Load().Limits.MemoryMiB) * activePerMiB
	return limit > 0 && p.gateway.Active() > limit
}

// delay returns the current delay of work that waits for the CPU.
func (p *cpuMonitor) delay() time.Duration { return time.Duration(p.delayNs.Load()) }

// starved reports whether the router is CPU-starved, so that callers should use other routers.
func (p *cpuMonitor) starved() bool { return time.Duration(p.delayNs.Load()) > starvedDelay }
