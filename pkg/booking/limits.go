package booking

import "time"

const (
	// DefaultRunShare is the part of the longest pause allowed between two events of a stream for
	// which booked prompts are prefilled back to back. The rest is left to prompts too short to be
	// booked, and to engines that are slower than expected.
	DefaultRunShare = 0.6
	// overShareRun is the part of that for organisations over their share: what is left of a run is
	// for those within their share.
	overShareRun = 2.0 / 3
	// breakShare is the part of the longest pause that is left between two runs: the time in which
	// the streams generate an event each.
	breakShare = 0.125
	// minPrefillShare is the part of the longest pause from which on a prompt is booked. Shorter
	// prompts are too many, and too short to matter.
	minPrefillShare = 0.04
)

// limits bound the runs at an engine.
type limits struct {
	// run is the longest time for which prompts are prefilled back to back, pause the time between
	// two runs.
	run, pause time.Duration
}

func limitsFor(maxPause time.Duration, runShare float64, overShare bool) limits {
	l := limits{run: time.Duration(runShare * float64(maxPause)), pause: time.Duration(breakShare * float64(maxPause))}
	if overShare {
		l.run = time.Duration(overShareRun * float64(l.run))
	}
	return l
}

// MinPrefill returns the time for its prefill from which on a prompt is booked at engines whose
// streams may pause for maxPause.
func MinPrefill(maxPause time.Duration) time.Duration {
	return time.Duration(minPrefillShare * float64(maxPause))
}
