package placement

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Candidate is an instance that may run a request.
type Candidate struct {
	Instance *upstream.Instance
	Load     Load
	// Kept is how many tokens of the request's prompt the instance is known to keep.
	Kept int
	// Handicap is added to the instance's cost, for one that fails or is slow.
	Handicap time.Duration
}
