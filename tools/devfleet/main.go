// Command devfleet starts fleets on 127.0.0.1 for developers.
//
//	devfleet up    starts a fleet, prints READY {json}, stops it on SIGINT or SIGTERM
//	devfleet demo  sends requests through every router and checks every answer
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
	subcommands.Register(&upCommand{}, "")
	subcommands.Register(&demoCommand{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}
