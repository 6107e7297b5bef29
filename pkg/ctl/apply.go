package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// errDifferent: diff found differences.
const errDifferent = errors.ConstError("different")

const applyUsage = `apply -f PATH [-dry-run] [-prune] [-op ID]
  Writes the resources of a YAML file, or of all YAML files under a directory, as one
  change, and prints first what changes. Applied twice it changes nothing the second time.

  flamingowindctl apply -f declarations
  flamingowindctl apply -f declarations -prune -dry-run
`

const diffUsage = `diff -f PATH [-prune]
  Prints what apply would change, and exits with 7 when there is something.

  flamingowindctl diff -f declarations
`

// applier holds the flags of apply and diff.
type applier struct {
	app    *app
	path   string
	dryRun bool
	prune  bool
	opID   string
}

func (a *app) applyCommand() *command {
	p := &applier{app: a}
	return &command{app: a, name: "apply", synopsis: "write the resources of YAML files", usage: applyUsage, run: p.apply,
		flags: func(f *flag.FlagSet) {
			p.pathFlags(f)
			f.BoolVar(&p.dryRun, "dry-run", false, "only print what would change")
			f.StringVar(&p.opID, "op", "", "operation ID of an earlier try whose answer was lost")
		}}
}

func (a *app) diffCommand() *command {
	p := &applier{app: a}
	return &command{app: a, name: "diff", synopsis: "print what apply would change", usage: diffUsage, run: p.diff, flags: p.pathFlags}
}

func (p *applier) pathFlags(f *flag.FlagSet) {
	f.StringVar(&p.path, "f", "", "YAML file, or directory of YAML files")
	f.BoolVar(&p.prune, "prune", false, "delete every resource that the files don't declare")
}

func (p *applier) diff(ctx context.Context, _ []string) error {
	_, _, plan, err := p.plan(ctx)
	if err == nil && len(plan.Changes) > 0 {
		return errDifferent
	}
	return err
}

func (p *applier) apply(ctx context.Context, _ []string) error {
	if p.opID != "" {
		if done, err := p.accepted(ctx); done || err != nil {
			return err
		}
	}
	client, files, plan, err := p.plan(ctx)
	if err != nil || p.dryRun || len(plan.Changes) == 0 {
		return err
	}
	request := p.request(plan)
	var done operator.Written
	if err := client.call(ctx, http.MethodPost, "/apply", request, &done); err != nil {
		if errors.Is(err, errUndecided) {
			return errors.Annotatef(err, "run again with -op %s", request.OpID)
		}
		return locate(files, err)
	}
	fmt.Fprintf(p.app.out, "accepted as version %d\n", done.Version)
	return nil
}

// accepted looks for an earlier try of the same operation.
func (p *applier) accepted(ctx context.Context) (bool, error) {
	client, err := p.app.client()
	if err != nil {
		return false, err
	}
	version, found, err := client.operation(ctx, p.opID)
	if found {
		fmt.Fprintf(p.app.out, "was accepted as version %d\n", version)
	}
	return found, err
}

// plan asks a router what the files would change, and prints it.
func (p *applier) plan(ctx context.Context) (*Client, *Manifests, operator.Written, error) {
	var plan operator.Written
	if p.path == "" {
		return nil, nil, plan, errors.Annotate(errUsage, "-f is needed")
	}
	files, err := ReadManifests(p.path)
	if err != nil {
		return nil, nil, plan, err
	}
	client, err := p.app.client()
	if err != nil {
		return nil, nil, plan, err
	}
	request := operator.Apply{DryRun: true, Prune: p.prune, Put: items(files.Resources)}
	if err := client.call(ctx, http.MethodPost, "/apply", request, &plan); err != nil {
		return nil, nil, plan, locate(files, err)
	}
	if err := printChanges(p.app.out, plan.Changes); err != nil {
		return nil, nil, plan, err
	}
	if len(plan.Changes) == 0 {
		fmt.Fprintf(p.app.out, "nothing to change at version %d\n", plan.Version)
	} else {
		fmt.Fprintln(p.app.out, summary(plan.Changes))
	}
	return client, files, plan, nil
}

func items(resources []resource.Resource) []operator.ApplyItem {
	list := make([]operator.ApplyItem, 0, len(resources))
	for _, r := range resources {
		list = append(list, operator.ApplyItem{Resource: resource.Document{Resource: r}})
	}
	return list
}

// request holds exactly what was printed: each change expects the version that the
// diff was made against, so that a racing operator's write is never overwritten unseen.
func (p *applier) request(plan operator.Written) operator.Apply {
	request := operator.Apply{OpID: p.opID}
	if p.opID == "" {
		request.OpID = uuid.NewString()
	}
	for _, c := range plan.Changes {
		var expect uint64
		if c.Before.Resource != nil {
			expect = resource.VersionOf(c.Before.Resource)
		}
		if c.Action == resource.ActionDelete {
			request.Delete = append(request.Delete, operator.ApplyRef{Ref: c.Ref, Expect: &expect})
			continue
		}
		request.Put = append(request.Put, operator.ApplyItem{Resource: resource.Document{Resource: resource.WithVersion(c.After.Resource, 0)}, Expect: &expect})
	}
	return request
}

// locate turns the faults that a router found into lines of the files.
func locate(files *Manifests, err error) error {
	var f *operator.Failure
	if errors.As(err, &f) && f.Code == operator.CodeInvalid {
		return files.Locate(f.Fields)
	}
	return err
}
