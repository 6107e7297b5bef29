package shedding

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Ask is a request to be placed at an engine.
type Ask struct {
	// Objective is the time to the first event within which an answer has its full value.
	Objective time.Duration
	// Waited is how long the request has waited already.
	Waited time.Duration
	// Reading is the prefill time of the whole prompt.
	Reading time.Duration
	// Standing is that of the request's organisation.
	Standing placement.Standing
}
