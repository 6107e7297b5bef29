package soak

import (
	"time"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// Options of a run.
type Options struct {
	// Bin is the directory of the built programs, Dir gets settings and logs.
	Bin, Dir string
	// Seed decides on faults and traffic.
	Seed uint64
	// Routers, Upstreams and Callers are their numbers.
	Routers, Upstreams, Callers int
	// Faults is how many faults are brought about in Length, beside those of upstreams' lives.
	Faults int
	Length time.Duration
	// Herd is the share of the routers that are killed at once, again and again, while software
	// versions are released and rolled back; 0 for the faults of the seed.
	Herd float64
	// OutOfStep makes one router stand still, or cuts it off, while another version joins, in place of the faults of
	// the seed.
	OutOfStep bool
	// Crashes makes callers send requests that crash upstreams.
	Crashes bool
}

// Small is a run for a machine that does other things as well: nine processes' worth of
// work, and a fault about every half second.
func Small(bin, dir string, seed uint64) Options {
	return Options{Bin: bin, Dir: dir, Seed: seed, Routers: 4, Upstreams: 5, Callers: 32, Faults: 16, Length: 8 * time.Second}
}

// herdPause is the pause after each event while many routers are killed: streams last about a second,
// so that many are cut.
const herdPause = 60 * time.Millisecond

// usual is how upstreams behave without a fault.
func (o Options) usual() platformtest.Behaviour {
	if o.Herd == 0 && !o.OutOfStep {
		return sound
	}
	return crashing(platformtest.Behaviour{Delay: sound.Delay, Pause: herdPause})
}

// Bounds that the promises name, and how much later than them a finding is one.
const (
	// settle is how long after a fault ends what it touched may still be affected.
	settle = 3 * time.Second
	// inForce is the time in which a declared change is in force on every calm router.
	inForce = 2 * time.Second
	// drainTime is the time after which an upstream that leaves gets no more requests.
	drainTime = 2 * time.Second
	// evacuateTime is the time after which an evacuated zone gets no more requests.
	evacuateTime = 2 * time.Second
	// warmup is how long upstreams are cold, coldPerSecond what one takes meanwhile. Together
	// routers may send coldOver times as many, and coldSlack beside them.
	warmup        = 3 * time.Second
	coldPerSecond = 10
	coldOver      = 1.5
	coldSlack     = 5
	// grace is the routers' time to end in order.
	grace = 4 * time.Second
	// late is how much later than a bound something must be to be a finding: the bounds are
	// the routers', and the measuring adds connections, relays and schedulers.
	late = 700 * time.Millisecond
	// recovery is the time after the last fault in which all must be well again.
	recovery = 5 * time.Second
	// quiet is the time after it in which everything must be served.
	quiet = 2 * time.Second
)

// Grown gives the options of a run with that many routers: upstreams, callers and faults
// grow with them.
func (o Options) Grown(routers int) Options {
	factor := float64(routers) / float64(o.Routers)
	o.Upstreams = int(float64(o.Upstreams) * factor)
	o.Callers = int(float64(o.Callers) * factor)
	o.Faults = int(float64(o.Faults) * factor)
	o.Routers = routers
	return o
}
