// Command flamingowindctl is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/flamingowind/flamingowind/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, os.Getenv))
}
