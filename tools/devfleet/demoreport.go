package main

import (
	"fmt"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
)

// served is one cell of the demo's table: who served what a router accepted.
type served struct{ router, upstream string }

// report prints what was served by whom, and fails when anything isn't as it must be.
func report(ready devfleet.Ready, results []load.Result, attempts []load.Attempt) error {
	printServed(ready, results, attempts)
	audit := load.Check(results, attempts, load.NoExcuse)
	fmt.Printf("%d requests: %d whole, %d refused, %d lost, %d doubled, %d cut, %d false refusals\n",
		audit.Sent, audit.Whole, audit.Refused, audit.Lost, audit.Doubled, audit.Cut, audit.FalseRefusals)
	for _, fault := range audit.Faults {
		fmt.Println(" ", fault)
	}
	if !audit.Clean() {
		return errors.New("something was lost, doubled or cut")
	}
	if audit.Whole != audit.Sent {
		return errors.Errorf("%d requests weren't served: %s", audit.Sent-audit.Whole, firstFault(results))
	}
	return nil
}

func firstFault(results []load.Result) string {
	for _, r := range results {
		if r.Outcome != load.Whole {
			return string(r.Outcome) + ": " + r.Fault
		}
	}
	return ""
}

func printServed(ready devfleet.Ready, results []load.Result, attempts []load.Attempt) {
	servedBy := load.ServedBy(attempts)
	counts := make(map[served]int)
	for _, r := range results {
		counts[served{r.Entry, servedBy(r.Request)}]++
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "accepted by\t")
	names := upstreamNames(ready)
	for _, name := range names {
		fmt.Fprint(table, name, "\t")
	}
	fmt.Fprintln(table)
	for _, r := range ready.Routers {
		fmt.Fprint(table, r.ID, "\t")
		for _, name := range names {
			fmt.Fprint(table, counts[served{r.Entry, name}], "\t")
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}

func upstreamNames(ready devfleet.Ready) []string {
	var names []string
	for _, u := range ready.Upstreams {
		names = append(names, u.Name)
	}
	sort.Strings(names)
	return names
}
