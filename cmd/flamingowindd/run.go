package main

import (
	"context"
	"flag"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/internal/hangup"
	"github.com/flamingowind/flamingowind/pkg/daemon"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
)

type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a router" }
func (*runCommand) Usage() string {
	return "flamingowindd run -settings FILE\n" +
		"Runs a router until SIGTERM or SIGINT, then drains; a second signal ends it at once.\n" +
		"Reads the settings again on SIGHUP and when the file changes.\n" +
		"Exit codes: 0 drained, 1 failed, 2 faulty settings.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "YAML settings file")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	watcher, s, status := load(c.file)
	if status != subcommands.ExitSuccess {
		return status
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// After the first signal the default handling is back: a second one ends the process.
	context.AfterFunc(ctx, stop)
	signal.Ignore(syscall.SIGPIPE) // see telemetry.AsyncWriter
	out, stopWriting := telemetry.StartAsync(os.Stderr)
	defer stopWriting()
	stdlog.SetOutput(out) // net/http's own lines
	d, err := daemon.New(s, out)
	if err == nil {
		go d.WatchSettings(ctx, watcher, hangup.Announced())
		err = d.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(out, "flamingowindd:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
