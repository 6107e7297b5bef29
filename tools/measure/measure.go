package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/load"
)

// measure runs the variants one after the other and prints the comparison.
func measure(ctx context.Context, o options) error {
	scenario, err := load.NewScenario(o.scenario, o.duration, o.seed)
	if err != nil {
		return err
	}
	scenario.CellSize, scenario.Follow = o.cellSize, o.follow
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return errors.Annotate(err, "make the output directory")
	}
	var variants []load.Variant
	for _, name := range strings.Split(o.variants, ",") {
		outcomes, err := runVariant(ctx, o, name, scenario)
		if err != nil {
			return errors.Annotatef(err, "variant %s", name)
		}
		if err := load.Plots(o.out, o.scenario+"-"+name+"-", outcomes); err != nil {
			return err
		}
		variants = append(variants, load.Variant{Name: name, Report: outcomes.Report})
	}
	return publish(o, variants)
}

// publish writes the JSON report, the tables and, last, the line of JSON.
func publish(o options, variants []load.Variant) error {
	reports := make(map[string]load.Report)
	for _, v := range variants {
		reports[v.Name] = v.Report
		if err := load.WriteLatencies(os.Stdout, v); err != nil {
			return errors.Trace(err)
		}
		fmt.Println()
	}
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encode the report")
	}
	if err := os.WriteFile(filepath.Join(o.out, o.scenario+".json"), data, 0o644); err != nil {
		return errors.Annotate(err, "write the report")
	}
	if err := load.WriteTable(os.Stdout, variants); err != nil {
		return errors.Trace(err)
	}
	line, err := load.SummaryLine(o.scenario, variants)
	if err != nil {
		return errors.Annotate(err, "encode the summary")
	}
	fmt.Printf("%s\n", line)
	return unclean(variants)
}

// unclean is an error when any variant lost, doubled or cut something.
func unclean(variants []load.Variant) error {
	for _, v := range variants {
		if !v.Report.Clean() {
			return errors.Errorf("%s: something was lost, doubled, cut or refused falsely", v.Name)
		}
	}
	return nil
}
