package ctl

import (
	"context"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
)

const drainUsage = `drain ROUTER
  Lets a router finish what it runs and exit; it takes nothing new. Its operator
  address must be among those of -server.

  flamingowindctl -server 10.0.0.7:8090,10.0.0.8:8090 drain router-2
`

const versionUsage = `version
  Prints the version of flamingowindctl.
`

// Version of flamingowindctl.
const Version = "0.1.0"

func (a *app) drainCommand() *command {
	return &command{app: a, name: "drain", synopsis: "drain a router", usage: drainUsage, minArgs: 1, maxArgs: 1,
		run: func(ctx context.Context, args []string) error { return a.drain(ctx, args[0]) }}
}

// drain looks for the router by its own word: addresses in flags can be mixed up.
func (a *app) drain(ctx context.Context, router string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var last error
	for _, server := range client.servers {
		var s operator.Status
		if err := client.callOne(ctx, server, http.MethodGet, "/status", nil, &s); err != nil {
			last = err
			continue
		}
		if s.Router != router {
			continue
		}
		var done operator.DrainRequest
		if err := client.callOne(ctx, server, http.MethodPost, "/drain", operator.DrainRequest{Router: router}, &done); err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s drains\n", done.Router)
		return nil
	}
	if last != nil {
		return last
	}
	return errors.Annotatef(errUsage, "no address of -server is router %s", router)
}

func (a *app) versionCommand() *command {
	return &command{app: a, name: "version", synopsis: "print the version", usage: versionUsage,
		run: func(context.Context, []string) error {
			fmt.Fprintln(a.out, "flamingowindctl", Version)
			return nil
		}}
}
