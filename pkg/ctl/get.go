package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

const getUsage = `get [-o table|json|yaml] KIND [NAME]
  Shows the resources of a kind, or one resource. YAML is in the form that apply reads.

  flamingowindctl get organisations
  flamingowindctl get -o yaml pool broker
`

const deleteUsage = `delete [-version N] [-op ID] KIND NAME
  Deletes one resource; with -version only if it is still at that version.

  flamingowindctl delete upstream engine-7
`

func (a *app) getCommand() *command {
	form := formTable
	return &command{app: a, name: "get", synopsis: "show resources", usage: getUsage, minArgs: 1, maxArgs: 2,
		flags: func(f *flag.FlagSet) { f.StringVar(&form, "o", formTable, "form: table, json or yaml") },
		run: func(ctx context.Context, args []string) error {
			kind, ok := resource.ParseKind(args[0])
			if !ok {
				return errors.Annotatef(errUsage, "no kind %q; known: %s", args[0], resource.KindNames())
			}
			return a.get(ctx, form, kind, args[1:])
		}}
}

func (a *app) get(ctx context.Context, form string, kind resource.Kind, names []string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var list operator.List
	if len(names) == 0 {
		err = client.call(ctx, http.MethodGet, "/"+string(kind), nil, &list)
	} else {
		list.Items = make([]resource.Document, 1)
		err = client.call(ctx, http.MethodGet, pathOf(kind, names[0]), nil, &list.Items[0])
	}
	if err != nil {
		return err
	}
	if list.Source == operator.SourceInForce {
		fmt.Fprintln(a.err, "the table is out: this is what is in force at the router that answered")
	}
	return a.printResources(form, list.Items)
}

func pathOf(kind resource.Kind, name string) string {
	return "/" + string(kind) + "/" + url.PathEscape(name)
}

func (a *app) printResources(form string, items []resource.Document) error {
	switch form {
	case formYAML:
		for _, item := range items {
			fmt.Fprint(a.out, "---\n"+yamlOf(item.Resource))
		}
		return nil
	case formTable:
		return a.printTable(items)
	default:
		return printForm(a.out, form, items)
	}
}

func (a *app) printTable(items []resource.Document) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tVERSION\tFIELDS")
	for _, item := range items {
		r := item.Resource
		fmt.Fprintf(w, "%s\t%d\t%s\n", resource.RefOf(r).Name, resource.VersionOf(r), fieldsOf(r))
	}
	return errors.Trace(w.Flush())
}

// fieldsOf writes the fields on one line; the name and the version have columns of their own.
func fieldsOf(r resource.Resource) string {
	var fields []string
	for line := range strings.Lines(yamlOf(r)) {
		line = strings.TrimRight(line, "\n")
		head, _, _ := strings.Cut(line, ":")
		if head != "kind" && head != "name" && head != "version" {
			fields = append(fields, strings.TrimSpace(line))
		}
	}
	return strings.Join(fields, " ")
}

func (a *app) deleteCommand() *command {
	var version uint64
	var opID string
	return &command{app: a, name: "delete", synopsis: "delete one resource", usage: deleteUsage, minArgs: 2, maxArgs: 2,
		flags: func(f *flag.FlagSet) {
			f.Uint64Var(&version, "version", 0, "the version it must have; 0 doesn't care")
			f.StringVar(&opID, "op", "", "operation ID of an earlier try whose answer was lost")
		},
		run: func(ctx context.Context, args []string) error {
			kind, ok := resource.ParseKind(args[0])
			if !ok {
				return errors.Annotatef(errUsage, "no kind %q; known: %s", args[0], resource.KindNames())
			}
			ref := operator.ApplyRef{Ref: resource.Ref{Kind: kind, Name: args[1]}}
			if version != 0 {
				ref.Expect = &version
			}
			return a.delete(ctx, ref, opID)
		}}
}

func (a *app) delete(ctx context.Context, ref operator.ApplyRef, opID string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	if opID == "" {
		opID = uuid.NewString()
	}
	var done operator.Written
	request := operator.Apply{OpID: opID, Delete: []operator.ApplyRef{ref}}
	err = client.call(ctx, http.MethodPost, "/apply", request, &done)
	switch {
	case errors.Is(err, errUndecided):
		return errors.Annotatef(err, "run again with -op %s", opID)
	case err != nil:
		return err
	case len(done.Changes) == 0 && !done.Replayed:
		fmt.Fprintf(a.out, "%s doesn't exist, nothing to change at version %d\n", ref.Ref, done.Version)
	default:
		fmt.Fprintf(a.out, "accepted as version %d\n", done.Version)
	}
	return nil
}
