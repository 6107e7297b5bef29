package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/internal/hangup"
	"github.com/flamingowind/flamingowind/pkg/gatewayd"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/platform"
)

type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a gateway" }
func (*runCommand) Usage() string {
	return "flamingowind-gateway run [-settings FILE]\n" +
		"Serves until SIGTERM or SIGINT, then leaves in order. Reads the settings again on SIGHUP\n" +
		"and when the file changes. Exit codes: 0 left, 1 failed, 2 faulty settings.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "YAML settings file; $"+platform.SettingsVariable+" without")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	watcher, s, status := load(settingsFile(c.file))
	if status != subcommands.ExitSuccess {
		return status
	}
	signal.Ignore(syscall.SIGPIPE) // see telemetry.AsyncWriter
	out, stopWriting := telemetry.StartAsync(os.Stdout)
	defer stopWriting()
	logger, err := telemetry.NewLog(out, s.Log.Level, "json")
	if err != nil {
		fmt.Fprintln(os.Stderr, "flamingowind-gateway:", err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l := logger.WithField("router", s.Router.Name)
	store := platform.NewStore(s.Store.Addr, l)
	p, err := gatewayd.NewProcess(s, gatewayd.Deployment{
		Store: store, Registry: store, Refusals: store, Versions: store, Streams: store, Dialect: platform.Dialect{},
		Faces:        gatewayd.Faces{Entries: platform.Entries, Readiness: platform.Readiness},
		Readdress:    store.Readdress,
		RowFaults:    store.RowFaults,
		StoreCalls:   store.Calls,
		StoreTraffic: store.Traffic,
		LinesDropped: out.Dropped,
	}, l)
	if err == nil {
		go p.WatchSettings(ctx, watcher, hangup.Announced())
		err = p.Run(ctx)
	}
	if err != nil {
		l.WithError(err).WithField("event", "failed").Error("router failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
