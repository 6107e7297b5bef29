// Command flamingowind-load drives a fleet over its public interface and reports
// what callers got and upstreams ran.
//
//	flamingowind-load run      drives one scenario against a running fleet
//	flamingowind-load compare  puts reports of earlier runs side by side
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&compareCommand{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}
