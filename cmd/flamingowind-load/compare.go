package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/load"
)

// compareCommand puts reports side by side.
type compareCommand struct{}

func (*compareCommand) Name() string           { return "compare" }
func (*compareCommand) Synopsis() string       { return "put reports of earlier runs side by side" }
func (*compareCommand) Usage() string          { return "compare REPORT.json...:\n" }
func (*compareCommand) SetFlags(*flag.FlagSet) {}

func (c *compareCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := compare(f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// compare prints the table and, as its last line, the summary.
func compare(files []string) error {
	var variants []load.Variant
	for _, file := range files {
		v, err := readReport(file)
		if err != nil {
			return err
		}
		variants = append(variants, v)
	}
	if err := load.WriteTable(os.Stdout, variants); err != nil {
		return errors.Trace(err)
	}
	line, err := load.SummaryLine(variants[0].Report.Scenario, variants)
	if err != nil {
		return errors.Annotate(err, "encode the summary")
	}
	fmt.Printf("%s\n", line)
	return nil
}

func readReport(file string) (load.Variant, error) {
	v := load.Variant{Name: strings.TrimSuffix(filepath.Base(file), ".json")}
	data, err := os.ReadFile(file)
	if err != nil {
		return v, errors.Annotate(err, "read a report")
	}
	err = json.Unmarshal(data, &v.Report)
	return v, errors.Annotatef(err, "parse %s", file)
}
