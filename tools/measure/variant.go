package main

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/settings"
)

// startWithin bounds the start of a variant's fleet.
const startWithin = 20 * time.Second

// enginesPerProcess keeps the number of stand-in processes small.
const enginesPerProcess = 6

// runVariant starts a fleet of its own, drives the load and stops the fleet.
func runVariant(ctx context.Context, o options, name string, scenario load.Scenario) (load.Outcomes, error) {
	dir, err := os.MkdirTemp("", "measure-"+name+"-")
	if err != nil {
		return load.Outcomes{}, errors.Annotate(err, "make a directory")
	}
	if name == single {
		scenario = scenario.OneRouter()
	}
	started, err := start(ctx, planFor(o, name, scenario, dir))
	if err != nil {
		return load.Outcomes{}, err
	}
	defer started.Stop(context.WithoutCancel(ctx))
	outcomes, err := drive(ctx, started, scenario)
	if err == nil && !o.keepLogs {
		_ = os.RemoveAll(dir)
	}
	return outcomes, err
}

func start(ctx context.Context, plan devfleet.Plan) (*devfleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	return devfleet.Start(ctx, plan)
}

// drive runs the load, with faults beside it when the scenario asks for them.
func drive(ctx context.Context, f *devfleet.Fleet, s load.Scenario) (load.Outcomes, error) {
	if !s.Faults {
		return load.Experiment(ctx, f.Current, s, load.NoExcuse)
	}
	injector := devfleet.NewInjector(f)
	plan := devfleet.SeededFaults(s.Seed, s.Routers, s.Duration)
	var faults sync.WaitGroup
	var faultErr error
	faults.Go(func() { faultErr = injector.Run(ctx, plan) })
	outcomes, err := load.Experiment(ctx, f.Current, s, func(r load.Result) bool {
		return injector.Killed(r.Entry, r.Sent, r.Ended)
	})
	faults.Wait()
	if err == nil {
		err = faultErr
	}
	return outcomes, err
}

func planFor(o options, name string, s load.Scenario, dir string) devfleet.Plan {
	plan := devfleet.Plan{
		BinDir: o.bin, Dir: dir, Routers: s.Routers, Zones: s.Zones,
		Model: s.Model, Service: s.Service, Engines: s.Engines, Services: s.Services,
		EnginesPerProcess: enginesPerProcess, Slots: s.Slots, MaxSlots: o.maxSlots,
		CellSize: s.CellSize, Step: s.Step, Call: s.Call,
		Mode: settings.SharingFleet, Relays: s.Faults,
	}
	if name == alone {
		plan.Mode = settings.SharingAlone
	}
	for _, p := range s.Profiles {
		plan.Organisations = append(plan.Organisations, devfleet.OrgPlan{Name: p.Org, Weight: p.Weight})
	}
	plan.Organisations = append(plan.Organisations, devfleet.OrgPlan{Name: load.WarmUpOrg, Weight: 1})
	return plan
}
