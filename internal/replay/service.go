package replay

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Service is what the routers are told of the engines.
type Service struct {
	Objective, MaxPause time.Duration
	// Capacity is what the engines are declared to do, in tokens a second.
	Capacity float64
	// Usual is the pace that the settings name.
	Usual placement.Speed
	// Slow is how many times slower than usual each engine is.
	Slow []float64
	// Routers is how many routers there are, one at least, Told the age that what one does has
	// when the others hear of it.
	Routers int
	Told    time.Duration
	// Serves is how many requests a router can serve in a second, 0 for any number. Passing one on
	// takes passingCost of that.
	Serves float64
	// KeepsIdle is how long an engine keeps an idle connection, Opening how long a new one takes.
	KeepsIdle, Opening time.Duration
	// Evacuations are of engines, which come back cold.
	Evacuations []Evacuation
	// Releases are of other software versions.
	Releases []Release
	// Backoffs are of engines that turn requests away.
	Backoffs []Backoff
}

// Evacuation is a time in which engines get nothing.
type Evacuation struct {
	From, To time.Duration
	Engines  []int
}
