package limit

const (
	// tolerance is how far a window's mean may exceed the baseline before the limit
	// shrinks. It is wide because time to first token varies with the prompt's length.
	tolerance = 2.0
	// baselineGain is the part of the difference by which the baseline follows a lower mean,
	// so that one window of short prompts doesn't set it.
	baselineGain = 0.3
	// maxSlowWindows is the number of consecutive slow windows after which their latency
	// becomes the baseline. By then the limit has more than halved: if that didn't help, load
	// isn't the cause, and holding the upstream at one slot would idle it for ever. Otherwise
	// the baseline never rises: it would follow a growing queue inside the engine.
	maxSlowWindows = 5
)

// latencyWindow compares the mean of a window with the latency under little load.
type latencyWindow struct {
	sum         float64
	count       int
	baseline    float64 // 0 until the first window with samples is closed
	slowWindows int     // consecutive slow windows
}

func (w *latencyWindow) add(v float64) {
	if v > 0 {
		w.sum += v
		w.count++
	}
}

// close ends the window and reports whether it was slow.
func (w *latencyWindow) close() (slow bool) {
	if w.count == 0 {
		return false
	}
	mean := w.sum / float64(w.count)
	w.sum, w.count = 0, 0
	switch {
	case w.baseline == 0 || w.slowWindows >= maxSlowWindows:
		w.baseline = mean
	case mean < w.baseline:
		w.baseline += baselineGain * (mean - w.baseline)
	case mean > tolerance*w.baseline:
		w.slowWindows++
		return true
	}
	w.slowWindows = 0
	return false
}
