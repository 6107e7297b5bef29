package limit

const (
	// tolerance is how far a window's mean may lie over the baseline before the limit
	// shrinks. Time to first token varies with the prompt's length, so it is wide.
	tolerance = 2.0
	// follow is the part of the way that the baseline goes to a lower mean, so that one
	// window of short prompts doesn't set it.
	follow = 0.3
	// maxSlow is the number of slow windows in a row after which their time is taken for
	// normal. By then the limit has more than halved: if that didn't help, the load isn't
	// the cause, and holding the upstream at one slot would idle it for ever. The baseline
	// never rises otherwise: it would follow a queue inside the engine upwards.
	maxSlow = 5
)

// track compares the mean of a window with the times seen under little load.
type track struct {
	sum      float64
	count    int
	baseline float64 // 0 until a window was closed
	slow     int     // slow windows in a row
}

func (t *track) add(v float64) {
	if v > 0 {
		t.sum += v
		t.count++
	}
}

// close ends the window and says whether it was slow.
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
