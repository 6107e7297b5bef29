package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
)

// runCommand drives one scenario.
type runCommand struct {
	ready, scenario, out, name string
	duration                   time.Duration
	seed                       uint64
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "drive a scenario against a running fleet" }
func (*runCommand) Usage() string {
	return "run -ready FILE [flags]:\n  FILE holds the READY line of devfleet up, - is standard input.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.ready, "ready", "-", "file with the READY line or its JSON; - for standard input")
	f.StringVar(&c.scenario, "scenario", load.Tutor, "one of "+strings.Join(load.ScenarioNames(), ", "))
	f.DurationVar(&c.duration, "duration", 10*time.Second, "time of the load")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the load")
	f.StringVar(&c.out, "out", "out/load", "directory for the JSON report and the plots")
	f.StringVar(&c.name, "name", "run", "name of the report: NAME.json")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *runCommand) run(ctx context.Context) error {
	ready, err := readReady(c.ready)
	if err != nil {
		return err
	}
	scenario, err := load.NewScenario(c.scenario, c.duration, c.seed)
	if err != nil {
		return err
	}
	current := func() devfleet.Ready { return ready }
	outcomes, err := load.Experiment(ctx, current, scenario, load.NoExcuse)
	if err != nil {
		return err
	}
	if err := c.save(outcomes); err != nil {
		return err
	}
	return show(load.Variant{Name: c.name, Report: outcomes.Report})
}

func (c *runCommand) save(o load.Outcomes) error {
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		return errors.Annotate(err, "make the output directory")
	}
	data, err := json.MarshalIndent(o.Report, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encode the report")
	}
	if err := os.WriteFile(filepath.Join(c.out, c.name+".json"), data, 0o644); err != nil {
		return errors.Annotate(err, "write the report")
	}
	return load.Plots(c.out, c.name+"-", o)
}

func show(v load.Variant) error {
	if err := load.WriteLatencies(os.Stdout, v); err != nil {
		return errors.Trace(err)
	}
	fmt.Println()
	if err := load.WriteTable(os.Stdout, []load.Variant{v}); err != nil {
		return errors.Trace(err)
	}
	if !v.Report.Clean() {
		return errors.New("something was lost, doubled, cut or refused falsely")
	}
	return nil
}

// readReady reads the line of devfleet up, with or without its first word.
func readReady(file string) (devfleet.Ready, error) {
	var in io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return devfleet.Ready{}, errors.Annotate(err, "open the READY line")
		}
		defer f.Close()
		in = f
	}
	return parseReady(in)
}

// parseReady reads the first line only: the fleet that writes it goes on running.
func parseReady(in io.Reader) (devfleet.Ready, error) {
	var ready devfleet.Ready
	line, err := bufio.NewReader(in).ReadBytes('\n')
	if err != nil && err != io.EOF {
		return ready, errors.Annotate(err, "read the READY line")
	}
	line = bytes.TrimPrefix(bytes.TrimSpace(line), []byte("READY "))
	if err := json.Unmarshal(line, &ready); err != nil {
		return ready, errors.Annotate(err, "parse the READY line")
	}
	if len(ready.Routers) == 0 {
		return ready, errors.NotValidf("a READY line without routers")
	}
	return ready, nil
}
