// Command flamingowind-standin serves stand-ins for what the operators run: the
// platform, model engines and plain services. It is for development and tests only.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/subcommands"
)

func main() {
	log.SetHandler(json.New(os.Stderr))
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&platformCommand{}, "stand-ins")
	subcommands.Register(&engineCommand{}, "stand-ins")
	subcommands.Register(&serviceCommand{}, "stand-ins")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
