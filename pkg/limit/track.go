package limit

// tolerance is how far a window's mean may lie over the baseline before the limit
// shrinks. Time to first token varies with the prompt's length, so it is wide.
const tolerance = 2.0

// relax is the growth of a baseline each window, so that an upstream which became
// slower for good isn't held at one slot for ever.
const relax = 1.01

// track compares the mean of a window with the least mean seen.
type track struct {
	sum      float64
	count    int
	baseline float64 // 0 until a window was closed
}

func (t *track) add(v float64) {
	if v > 0 {
		t.sum += v
		t.count++
	}
}

// close ends the window and says whether its mean lies over the tolerance.
func (t *track) close() (slow bool) {
	if t.count == 0 {
		return false
	}
	mean := t.sum / float64(t.count)
	t.sum, t.count = 0, 0
	if t.baseline == 0 || mean < t.baseline {
		t.baseline = mean
		return false
	}
	slow = mean > tolerance*t.baseline
	t.baseline *= relax
	return slow
}
