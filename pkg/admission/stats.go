package admission

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// Traffic returns the bytes read from and written to connections so far.
func (l *Listener) Traffic() traffic.Bytes { return l.meter.Total() }

// Wait returns how long a connection accepted now would wait to be read.
func (l *Listener) Wait() time.Duration { return l.queue.estimatedWait(l.now()) }

// TurnedAway returns how many connections were refused, and how many were closed without a
// response.
func (l *Listener) TurnedAway() (refused, closed int64) {
	return l.refuser.refusedCount.Load(), l.closedCount.Load()
}

// RefusalTime returns the mean CPU time of a refusal.
func (l *Listener) RefusalTime() time.Duration { return l.refuser.meanCost() }

// Share returns the measured share of a core that the process got recently.
func (l *Listener) Share() float64 { return l.refuser.cpuShare() }

// Accepted returns the number of connections admitted so far.
func (l *Listener) Accepted() int64 { return l.admittedCount.Load() }
