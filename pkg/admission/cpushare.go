package admission

import (
	"math"
	"time"
)

const (
	// cpuShareWindow is the time constant of the moving average: several periods of a CPU quota.
	cpuShareWindow = 300 * time.Millisecond
	// maxObservationGap is the longest time between two observations that are used: over a longer
	// one the process may have been idle.
	maxObservationGap = time.Second
	// minCPUShare is the lower bound of an observation.
	minCPUShare = 0.01
)

// cpuShare estimates the share of a core that the process gets, from its CPU clock and elapsed
// time.
type cpuShare struct {
	value float64
	// lastCPU is the CPU clock as of the last observation, at lastAt.
	lastCPU, lastAt time.Time
}

// newCPUShare assumes a whole core until the share is observed.
func newCPUShare() cpuShare { return cpuShare{value: 1} }

// observe records the CPU clock at now.
func (s *cpuShare) observe(used, now time.Time) {
	passed := now.Sub(s.lastAt)
	if passed > 0 && passed <= maxObservationGap {
		sample := max(minCPUShare, min(1, used.Sub(s.lastCPU).Seconds()/passed.Seconds()))
		s.value += (1 - math.Exp(-passed.Seconds()/cpuShareWindow.Seconds())) * (sample - s.value)
	}
	s.lastCPU, s.lastAt = used, now
}
