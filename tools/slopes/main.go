// Command slopes measures what the control side of a router costs against the sizes
// that drive it, prints a table and writes slopes.json beside docs/CAPACITY.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/slopes"
)

func main() {
	out := flag.String("out", "docs/capacity", "directory for slopes.json")
	only := flag.String("only", "", "experiments to run: peers, cells, path, members, config, reads; all when empty")
	// The Makefile gives each tool the programs' directory; this one starts none.
	flag.String("bin", "bin", "not used")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := measure(ctx, *only, *out); err != nil {
		fmt.Fprintln(os.Stderr, "slopes failed:", err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, only, out string) error {
	plan := slopes.FullPlan()
	if only != "" {
		plan = plan.Only(strings.Split(only, ","))
	}
	report, err := slopes.Run(ctx, plan)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return errors.Trace(err)
	}
	return report.Write(out)
}
