// Command flamingowind-gateway is the router on platforms that address services by host
// and path.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
