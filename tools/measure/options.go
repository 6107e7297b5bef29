package main

import (
	"flag"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/pkg/load"
)

// Names of the variants.
const (
	alone  = "alone"
	single = "single"
	fleet  = "fleet"
)

// options are the command's flags.
type options struct {
	bin, out, scenario, variants string
	duration                     time.Duration
	seed                         uint64
	maxSlots                     int
	cellSize                     int
	follow, keepLogs             bool
}

func (o *options) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	f.StringVar(&o.out, "out", "out/measure", "directory for the JSON report and the plots")
	f.StringVar(&o.scenario, "scenario", load.Tutor, "one of "+strings.Join(load.ScenarioNames(), ", "))
	f.StringVar(&o.variants, "variants", strings.Join([]string{alone, single, fleet}, ","), "variants to run")
	f.DurationVar(&o.duration, "duration", 9*time.Second, "time of the load in each variant")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the load")
	f.IntVar(&o.maxSlots, "max-slots", 0, "bound of the adaptive limit of an engine; 0 fixes the limit at its slots")
	f.IntVar(&o.cellSize, "cell-size", 0, "most engines of one cell; 0 takes the default")
	f.BoolVar(&o.follow, "follow", false, "callers use the entries that the system names for their model")
	f.BoolVar(&o.keepLogs, "keep-logs", false, "keep the processes' settings and logs")
}
