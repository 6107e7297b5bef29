package admission

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// Traffic returns the bytes read from and written to connections so far.
func (l *Listener) Traffic() traffic.Bytes { return l.meter.Total() }

// EstimatedWait returns how long a connection accepted now would wait to be read.
func (l *Listener) EstimatedWait() time.Duration { return l.queue.estimatedWait(l.now()) }

// ShedCounts returns how many connections were refused, and how many were closed without a
// response.
func (l *Listener) ShedCounts() (refused, closed int64) {
	return l.refuser.refusedCount.Load(), l.closedCount.Load()
}

// RefusalCost returns the mean CPU time of a refusal.
func (l *Listener) RefusalCost() time.Duration { return l.refuser.meanCost() }

// CPUShare returns the measured share of a core that the process got recently.
func (l *Listener) CPUShare() float64 { return l.refuser.cpuShare() }

// Admitted returns the number of connections admitted so far.
func (l *Listener) Admitted() int64 { return l.admittedCount.Load() }
