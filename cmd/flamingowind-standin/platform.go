package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/flamingowind/flamingowind/pkg/standin/host"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

type platformCommand struct{ listen string }

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "serve table, objects, host list and weight store" }
func (*platformCommand) Usage() string {
	return "platform -listen 127.0.0.1:7000\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "`address` to listen on")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	h := host.New("platform", c.listen, platform.New().Handler())
	return serveAll(ctx, []duty{serve(h)})
}
