package ctl

import (
	"context"
	"flag"
	"fmt"
	"math"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
)

// command is one subcommand; it implements subcommands.Command.
type command struct {
	app      *app
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet)
	// run does the work; args are what follows the flags.
	run func(ctx context.Context, args []string) error
	// minArgs and maxArgs bound the arguments.
	minArgs, maxArgs int
}

// anyArgs is the maxArgs of commands that take any number.
const anyArgs = math.MaxInt

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < c.minArgs || f.NArg() > c.maxArgs {
		fmt.Fprint(c.app.err, c.usage)
		return ExitUsage
	}
	err := c.run(ctx, f.Args())
	if errors.Is(err, errDifferent) {
		return ExitDifferent
	}
	if err != nil {
		fmt.Fprintln(c.app.err, describe(err))
	}
	return exitOf(err)
}

// describe shows a router's refusal with all that helps: faults, the state that won,
// the operation ID to send again.
func describe(err error) string {
	var f *operator.Failure
	if !errors.As(err, &f) {
		return err.Error()
	}
	text := f.Error()
	for _, fault := range f.Fields {
		text += "\n  " + fault.String()
	}
	if f.Current != nil {
		text += "\ncurrent state:\n" + indent(yamlOf(f.Current.Resource))
	}
	if f.Code == operator.CodeUndecided {
		text += "\nrun again with -op " + f.OpID
	}
	return text
}
