package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Forms of output.
const (
	formTable = "table"
	formJSON  = "json"
	formYAML  = "yaml"
)

// yamlOf writes a resource in the form that apply reads.
func yamlOf(r resource.Resource) string {
	if r == nil {
		return "(doesn't exist)\n"
	}
	b, err := yaml.Marshal(r)
	if err != nil {
		return "(" + err.Error() + ")\n"
	}
	return "kind: " + string(r.ResourceKind()) + "\n" + string(b)
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n  ")
}

// printForm writes v as JSON or YAML.
func printForm(w io.Writer, form string, v any) error {
	var b []byte
	var err error
	switch form {
	case formJSON:
		b, err = json.MarshalIndent(v, "", "  ")
		b = append(b, '\n')
	case formYAML:
		b, err = yaml.Marshal(v)
	default:
		return errors.Annotatef(errUsage, "-o %s: must be table, json or yaml", form)
	}
	if err != nil {
		return errors.Annotate(err, "print")
	}
	_, err = w.Write(b)
	return errors.Trace(err)
}

// printChanges shows each change as a unified diff of its YAML.
func printChanges(w io.Writer, changes []operator.Change) error {
	for _, c := range changes {
		fmt.Fprintf(w, "%s %s\n", c.Action, c.Ref)
		diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:       lines(c.Before.Resource),
			B:       lines(c.After.Resource),
			Context: 1,
		})
		if err != nil {
			return errors.Annotate(err, "diff")
		}
		fmt.Fprint(w, diff)
	}
	return nil
}

// lines leaves the version out: it differs in every change and says nothing.
func lines(r resource.Resource) []string {
	if r == nil {
		return nil
	}
	return difflib.SplitLines(strings.TrimRight(yamlOf(resource.WithVersion(r, 0)), "\n"))
}

func summary(changes []operator.Change) string {
	count := make(map[resource.Action]int)
	for _, c := range changes {
		count[c.Action]++
	}
	return fmt.Sprintf("%d to create, %d to update, %d to delete",
		count[resource.ActionCreate], count[resource.ActionUpdate], count[resource.ActionDelete])
}
