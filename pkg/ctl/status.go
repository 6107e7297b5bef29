package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
)

const statusUsage = `status [-o table|json|yaml]
  Shows which version each router has in force, and what an accepted change waits for.

  flamingowindctl status
  flamingowindctl status -o json
`

func (a *app) statusCommand() *command {
	form := formTable
	return &command{app: a, name: "status", synopsis: "show the versions in force", usage: statusUsage,
		flags: func(f *flag.FlagSet) { f.StringVar(&form, "o", formTable, "form: table, json or yaml") },
		run: func(ctx context.Context, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			var s operator.Status
			if err := client.call(ctx, http.MethodGet, "/status", nil, &s); err != nil {
				return err
			}
			if form == formTable {
				return printStatus(a.out, s)
			}
			return printForm(a.out, form, s)
		}}
}

func printStatus(out io.Writer, s operator.Status) error {
	table := "readable"
	if !s.TableReadable {
		table = "out"
	}
	fmt.Fprintf(out, "Newest version %d, in force at %s: %d (%s), table %s.\n", s.Newest, s.Router, s.InForce, s.Basis, table)
	if len(s.WaitingFor) > 0 {
		fmt.Fprintf(out, "Waiting for %s.\n", strings.Join(s.WaitingFor, ", "))
	} else {
		fmt.Fprintln(out, "In force everywhere.")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nROUTER\tZONE\tSTATE\tVERSION\tNEWEST\tSINCE")
	for _, r := range s.Routers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%s\n", r.ID, r.Zone, r.State, r.Version, r.Confirmed, r.Since.UTC().Format(time.RFC3339))
	}
	return errors.Trace(w.Flush())
}
