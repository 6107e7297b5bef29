package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
)

// Environment variables that stand in for flags.
const (
	envServer = "FLAMINGOWIND_SERVER"
	envToken  = "FLAMINGOWIND_TOKEN_FILE"
)

// app is one run of the command line.
type app struct {
	out, err io.Writer
	server   string
	token    string
}

const topHelp = `flamingowindctl declares and watches the configuration of a router fleet.

Examples:
  flamingowindctl -server 10.0.0.7:8090,10.0.0.8:8090 -token token.txt status
  flamingowindctl apply -f declarations -dry-run
  flamingowindctl get upstreams
  flamingowindctl watch -from 12

`

// Run executes args (without the program's name) and returns the exit code. getenv
// looks up environment variables.
func Run(ctx context.Context, args []string, out, err io.Writer, getenv func(string) string) int {
	a := &app{out: out, err: err}
	top := flag.NewFlagSet("flamingowindctl", flag.ContinueOnError)
	top.SetOutput(err)
	top.StringVar(&a.server, "server", getenv(envServer), "operator addresses of routers, ip:port, the first that answers is used ("+envServer+")")
	top.StringVar(&a.token, "token", getenv(envToken), "file with the operator's token ("+envToken+")")
	commander := subcommands.NewCommander(top, "flamingowindctl")
	commander.Output, commander.Error = out, err
	for _, c := range a.commands() {
		commander.Register(c, "")
	}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	top.Usage = func() { a.help(commander) }
	switch parsed := top.Parse(args); parsed {
	case nil:
		return int(commander.Execute(ctx))
	case flag.ErrHelp:
		return int(ExitOK)
	default:
		return int(ExitUsage)
	}
}

func (a *app) help(commander *subcommands.Commander) {
	fmt.Fprint(a.err, topHelp)
	commander.Explain(a.err)
	fmt.Fprint(a.err, exitHelp)
}

func (a *app) commands() []*command {
	return []*command{
		a.applyCommand(), a.diffCommand(), a.getCommand(), a.deleteCommand(), a.watchCommand(),
		a.statusCommand(), a.entriesCommand(), a.gatewaysCommand(), a.drainCommand(), a.explainCommand(), a.versionCommand(),
	}
}

func (a *app) servers() []string {
	var list []string
	for s := range strings.SplitSeq(a.server, ",") {
		if s = strings.TrimSpace(s); s != "" {
			list = append(list, s)
		}
	}
	return list
}

func (a *app) client() (*Client, error) { return NewClient(a.servers(), a.token) }
