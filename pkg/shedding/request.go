package shedding

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Ask is a request that wants to be placed at an engine.
type Ask struct {
	// Objective is the time to the first event in which an answer has its full worth.
	Objective time.Duration
	// Waited is how long it has waited already.
	Waited time.Duration
	// Reading is how long its whole prompt takes to be read.
	Reading time.Duration
	// Standing is that of its organisation.
	Standing placement.Standing
}
