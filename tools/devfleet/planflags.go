package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/settings"
)

// startWithin bounds the start of a fleet.
const startWithin = 30 * time.Second

// planFlags are the flags that both commands share.
type planFlags struct {
	bin, dir                                string
	routers, engines, services, orgs, slots int
	perProcess                              int
	step, call                              time.Duration
	mode                                    string
	relays                                  bool
	removeDir                               bool
}

func (p *planFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.bin, "bin", "bin", "directory of the programs")
	f.StringVar(&p.dir, "dir", "", "directory for settings and logs; a temporary one when left out")
	f.IntVar(&p.routers, "routers", 3, "number of routers")
	f.IntVar(&p.engines, "engines", 3, "number of model engines")
	f.IntVar(&p.services, "services", 2, "number of instances of the plain service")
	f.IntVar(&p.orgs, "orgs", 3, "number of organisations")
	f.IntVar(&p.slots, "slots", 8, "requests that an upstream runs at once")
	f.IntVar(&p.perProcess, "engines-per-process", 1, "engines served by one process")
	f.DurationVar(&p.step, "step", 5*time.Millisecond, "time of an engine's step")
	f.DurationVar(&p.call, "call", 5*time.Millisecond, "time of a service call")
	f.StringVar(&p.mode, "mode", string(settings.SharingFleet), "sharing mode: fleet or alone")
	f.BoolVar(&p.relays, "relays", false, "put relays before peers, platform and upstreams")
}

// plan works out the plan; a temporary directory is made when none was named.
func (p *planFlags) plan() (devfleet.Plan, error) {
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "devfleet-")
		if err != nil {
			return devfleet.Plan{}, errors.Annotate(err, "make a directory")
		}
		p.dir, p.removeDir = dir, true
	}
	plan := devfleet.DemoPlan(p.bin, p.dir)
	plan.Routers, plan.Engines, plan.Services, plan.Slots = p.routers, p.engines, p.services, p.slots
	plan.EnginesPerProcess, plan.Step, plan.Call = p.perProcess, p.step, p.call
	plan.Organisations = devfleet.Organisations(p.orgs)
	plan.Mode, plan.Relays = settings.SharingMode(p.mode), p.relays
	return plan, nil
}

// start starts the planned fleet.
func (p *planFlags) start(ctx context.Context) (*devfleet.Fleet, error) {
	plan, err := p.plan()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	return devfleet.Start(ctx, plan)
}

// cleanUp removes the temporary directory; it stays after a failure, for its logs.
func (p *planFlags) cleanUp() {
	if p.removeDir {
		_ = os.RemoveAll(p.dir)
	}
}
