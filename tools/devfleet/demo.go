package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/pkg/load"
)

// callerPatience bounds one request of the demo.
const callerPatience = 30 * time.Second

// demoCommand shows the whole request path on one machine.
type demoCommand struct {
	planFlags
	rounds int
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "send requests through every router and check them" }
func (*demoCommand) Usage() string {
	return "demo [flags]:\n  Exits non-zero when anything was lost, doubled or cut.\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	c.planFlags.SetFlags(f)
	f.IntVar(&c.rounds, "rounds", 3, "requests of each form, organisation and router")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		fmt.Fprintln(os.Stderr, "logs:", c.dir)
		return subcommands.ExitFailure
	}
	c.cleanUp()
	return subcommands.ExitSuccess
}

func (c *demoCommand) run(ctx context.Context) error {
	fleet, err := c.start(ctx)
	if err != nil {
		return err
	}
	defer fleet.Stop(context.WithoutCancel(ctx))
	caller := load.NewCaller(fleet.Ready.Model, fleet.Ready.Service, callerPatience)
	defer caller.Close()
	if err := awaitEntries(ctx, fleet.Ready); err != nil {
		return err
	}
	results := sendAll(ctx, caller, demoRequests(fleet.Ready, c.rounds))
	attempts, err := load.Journals(ctx, fleet.Ready.Upstreams)
	if err != nil {
		return err
	}
	return report(fleet.Ready, results, attempts)
}
