// Command measure runs one seeded load against three variants of a fleet and
// compares them: routers that each have a slice of every engine (alone), one router
// before everything (single) and the fleet.
//
// The last line of its output is one line of JSON.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	var o options
	o.setFlags(flag.CommandLine)
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := measure(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "measure failed:", err)
		os.Exit(1)
	}
}
