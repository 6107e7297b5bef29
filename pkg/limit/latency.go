package limit

const (
	// tolerance is how far a window's mean may exceed the baseline before the limit
	// shrinks. It is wide because time to first token varies with the prompt's length.
	tolerance = 2.0
	// baselineGain is the part of the difference by which the baseline follows a lower mean,
	// so that one window of short prompts doesn't set it.
	follow = 0.3
	// maxSlowWindows is the number of consecutive slow windows after which their latency
	// becomes the baseline. By then the limit has more than halved: if that didn't help, load
	// isn't the cause, and holding the upstream at one slot would idle it for ever. Otherwise
	// the baseline never rises: it would follow a growing queue inside the engine.
	maxSlow = 5
)

// latencyWindow compares the mean of a window with the latency under little load.
type track struct {
	sum      float64
	count    int
	baseline float64 // 0 until the first window with samples is closed
	slow     int // consecutive slow windows
}

func (t *track) add(v float64) {
	if v > 0 {
		t.sum += v
		t.count++
	}
}

// close ends the window and reports whether it was slow.
func (t *track) close() (slow bool) {
	if t.count == 0 {
		return false
	}
	mean := t.sum / float64(t.count)
	t.sum, t.count = 0, 0
	switch {
	case t.baseline == 0 || t.slow >= maxSlow:
		t.baseline = mean
	case mean < t.baseline:
		t.baseline += follow * (mean - t.baseline)
	case mean > tolerance*t.baseline:
		t.slow++
		return true
	}
	t.slow = 0
	return false
}
