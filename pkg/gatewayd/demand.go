package gatewayd

import (
	"math"
	"sync"
	"time"
)

// demandWindow is the time constant in seconds of the decaying counts of connections. It equals
// that of the organisations' shares, which demand scales.
const demandWindow = 2.0

// demand estimates the ratio of callers' demand to the requests that this router reads.
//
// Connections rejected for lack of CPU are not read, so their organisation is unknown. Without
// this factor an organisation whose callers all use this router seems to ask for little, and to
// get all of it.
type demand struct {
	// counts returns the total numbers of accepted and of rejected connections.
	counts func() (accepted, rejected int64)

	mu                         sync.Mutex
	lastAccepted, lastRejected int64
	accepted, rejected         float64
	updatedAt                  time.Time
}

// factor returns the ratio of all connections to the accepted ones, 1 or more.
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
