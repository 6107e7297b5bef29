package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/internal/experiment"
	"github.com/flamingowind/flamingowind/internal/replay"
)

// emulateCmd switches single mechanisms off on the emulated days.
type emulateCmd struct {
	seeds int
	html  string
}

func (*emulateCmd) Name() string { return "emulate" }

func (*emulateCmd) Synopsis() string {
	return "switch mechanisms off, one at a time, on the emulated days"
}

func (*emulateCmd) Usage() string {
	return "experiment emulate [-seeds N] [-html FILE] [MECHANISM...]\nWithout names all mechanisms are tried.\n"
}

func (c *emulateCmd) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seeds, "seeds", 3, "seeds of each day")
	f.StringVar(&c.html, "html", "", "file for a report with plots")
}

const wholeName = "whole"

func (c *emulateCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names := f.Args()
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(experiment.Switches))
	}
	variants := map[string]replay.Decisions{wholeName: experiment.Whole}
	for _, name := range names {
		off := experiment.Switches[name]
		if off == nil {
			fmt.Printf("no mechanism %q; there are %v\n", name, slices.Sorted(maps.Keys(experiment.Switches)))
			return subcommands.ExitUsageError
		}
		d := experiment.Whole
		off(&d)
		variants[without(name)] = d
	}
	plays := experiment.Emulate(variants, c.seeds)
	var list []experiment.Comparison
	for _, name := range names {
		list = append(list, experiment.Compare(plays, wholeName, without(name)))
	}
	return show(list, c.html)
}

func without(name string) string { return "without-" + name }
