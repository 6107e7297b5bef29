package stops

import (
	"path/filepath"
	"time"
)

// Options of a run.
type Options struct {
	// Bin is the directory of the built programs, Dir gets settings and logs.
	Bin, Dir string
	Seed     uint64
	// Routers is their number, Callers that of callers for each of them.
	Routers, Callers int
	// Length is the time in which stops begin.
	Length time.Duration
	// Workers is the number of engines; 0 for two for each router.
	Workers int
}

// Small is a run of about twenty seconds.
func Small(bin, dir string, seed uint64) Options {
	return Options{Bin: bin, Dir: dir, Seed: seed, Routers: 2, Callers: 24, Length: 11 * time.Second}
}

func (o Options) workers() int {
	if o.Workers > 0 {
		return o.Workers
	}
	return 2 * o.Routers
}

func (o Options) gateway() string { return filepath.Join(o.Bin, "flamingowind-gateway") }

const (
	// grace is the routers' time to end in order.
	grace = 8 * time.Second
	// lossSlack is how long after its last byte a request may end unanswered that was not passed on.
	lossSlack = 200 * time.Millisecond
	// routeTimeout is the routes' timeout, callerWait how long callers wait: longer than any request
	// lasts.
	routeTimeout = 15 * time.Second
	callerWait   = 12 * time.Second
	// early is how long after the signal to stop a request may be sent that is allowed to be cut in the
	// last sixth of the grace.
	early = 3 * time.Second
	// startWait bounds a start, pollEvery is the pause between two looks at a process.
	startWait = 20 * time.Second
	pollEvery = 20 * time.Millisecond
)
