package gatewayd

import (
	"math"
	"sync"
	"time"
)

// demandWindow is the time constant in seconds with which connections are forgotten: that of the
// organisations' shares, which demand stretches.
const demandWindow = 2.0

// demand tells how many times more callers ask of this router than it reads.
//
// Guard: connections that are turned away for want of processor are not read, so nobody knows
// whose they were. An organisation whose callers all come to this router then seems to ask for
// little, and to get what it asks.
type demand struct {
	// counts gives the connections that were let in and those that were turned away so far.
	counts func() (accepted, rejected int64)

	mu                         sync.Mutex
	lastAccepted, lastRejected int64
	accepted, rejected         float64
	updatedAt                  time.Time
}

// factor is what callers ask over what is read of it, 1 or more.
func (d *demand) factor(now time.Time) float64 {
	if d == nil || d.counts == nil {
		return 1
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	decay := math.Exp(-max(0, now.Sub(d.updatedAt).Seconds()) / demandWindow)
	accepted, rejected := d.counts()
	d.accepted = d.accepted*decay + float64(accepted-d.lastAccepted)
	d.rejected = d.rejected*decay + float64(rejected-d.lastRejected)
	d.lastAccepted, d.lastRejected, d.updatedAt = accepted, rejected, now
	if d.rejected <= 0 {
		return 1
	}
	return (d.accepted + d.rejected) / max(1, d.accepted)
}
