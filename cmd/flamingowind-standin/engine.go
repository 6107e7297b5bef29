package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform/httpplatform"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/host"
)

// platformTimeout bounds a call to the platform.
const platformTimeout = 2 * time.Second

type engineCommand struct {
	listen      string
	name        string
	slots       int
	stepMs      float64
	checksFence bool
	platform    string
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "serve one or more model engines" }
func (*engineCommand) Usage() string {
	return "engine -listen 127.0.0.1:9000,127.0.0.1:9001 -name e1,e2 -slots 8 -step-ms 5\n"
}

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9000", "`addresses` to listen on, one for each engine")
	f.StringVar(&c.name, "name", "engine", "`names` of the engines")
	f.IntVar(&c.slots, "slots", engine.DefaultSlots, "`requests` that run at once")
	f.Float64Var(&c.stepMs, "step-ms", engine.DefaultStep.Seconds()*1000, "`milliseconds` of one step")
	f.BoolVar(&c.checksFence, "checks-fence", false, "refuse orders with an old fencing number")
	f.StringVar(&c.platform, "platform", "", "base `URL` of the platform whose weight store is asked; none when empty")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	list, err := places(c.listen, c.name)
	if err == nil && (c.slots < 1 || c.stepMs <= 0) {
		err = errors.New("-slots and -step-ms must be over 0")
	}
	if err != nil {
		return usageError(err)
	}
	options := engine.Options{
		Slots:       c.slots,
		Step:        time.Duration(c.stepMs * float64(time.Millisecond)),
		ChecksFence: c.checksFence,
	}
	if c.platform != "" {
		client, err := httpplatform.New(c.platform, platformTimeout)
		if err != nil {
			return usageError(err)
		}
		defer client.Close()
		options.Weights = client.Weights()
	}
	var duties []duty
	for _, p := range list {
		duties = append(duties, engineDuties(options, p)...)
	}
	return serveAll(ctx, duties)
}

// engineDuties returns the stepping and the serving of one engine.
func engineDuties(options engine.Options, p place) []duty {
	var h *host.Host
	options.Name = p.name
	options.OnCrash = func(revive time.Duration) { h.Crash(revive) }
	e := engine.New(options)
	h = host.New(p.name, p.addr, e.Handler())
	step := func(ctx context.Context) error {
		e.Run(ctx)
		return nil
	}
	return []duty{step, serve(h)}
}
