package placement

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Candidate is an instance that may run a request.
type Candidate struct {
	Instance *upstream.Instance
	Load     Load
	// Cached is the number of the prompt's tokens that are expected to be in the instance's KV
	// cache.
	Cached int
	// Confirmed is the number of them that are known to be prefilled, so that other engines can
	// fetch them.
	Confirmed int
	// LongPromptShare is the part of the last seconds in which the instance had a long prompt to
	// prefill.
	LongPromptShare float64
	// Slowness is the instance's prefill time over the usual one; 0 counts as 1.
	Slowness float64
	// Connected is whether this router has an idle connection to the instance.
	Connected bool
	// Handicap is added to the cost of an instance that fails or is slow.
	Handicap time.Duration
}

// slowed scales a prefill time by the instance's slowness.
func (c Candidate) slowed(d time.Duration) time.Duration {
	if c.Slowness <= 0 {
		return d
	}
	return time.Duration(float64(d) * c.Slowness)
}
