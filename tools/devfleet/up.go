package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// upCommand keeps a fleet running in the foreground.
type upCommand struct{ planFlags }

func (*upCommand) Name() string     { return "up" }
func (*upCommand) Synopsis() string { return "start a fleet and keep it until SIGINT or SIGTERM" }
func (*upCommand) Usage() string    { return "up [flags]:\n  Prints one line READY {json}.\n" }

func (c *upCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fleet, err := c.start(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	defer c.cleanUp()
	defer fleet.Stop(context.WithoutCancel(ctx))
	line, err := json.Marshal(fleet.Ready)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Printf("READY %s\n", line)
	<-ctx.Done()
	return subcommands.ExitSuccess
}
