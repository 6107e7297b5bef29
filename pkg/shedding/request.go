package shedding

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Request is a request to be placed at an engine.
type Request struct {
	// Objective is the time to the first event within which an answer has its full value.
	Objective time.Duration
	// Waited is how long the request has waited already.
	Waited time.Duration
	// Prefill is the prefill time of the whole prompt.
	Prefill time.Duration
	// Standing is that of the request's organisation.
	Standing placement.Standing
}
