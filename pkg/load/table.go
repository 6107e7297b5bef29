package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Variant is one named run of a comparison.
type Variant struct {
	Name   string
	Report Report
}

// row is one line of the table: a figure of each variant.
type row struct {
	name   string
	format string
	value  func(Report) any
}

var rows = []row{
	{"requests", "%d", func(r Report) any { return r.Sent }},
	{"whole", "%d", func(r Report) any { return r.Whole }},
	{"refused", "%d", func(r Report) any { return r.Refused }},
	{"lost", "%d", func(r Report) any { return r.Lost }},
	{"doubled", "%d", func(r Report) any { return r.Doubled }},
	{"cut", "%d", func(r Report) any { return r.Cut }},
	{"false refusals", "%d", func(r Report) any { return r.FalseRefusals }},
	{"broken by injected faults", "%d", func(r Report) any { return r.Excused + r.Unsent }},
	{"fairness gap, tokens", "%.0f", func(r Report) any { return r.GapTokens }},
	{"fairness gap, largest requests", "%.2f", func(r Report) any { return r.GapRequests }},
	{"largest request, tokens", "%d", func(r Report) any { return r.LargestRequest }},
	{"utilisation", "%.4f", func(r Report) any { return r.Utilisation }},
	{"tokens a second", "%.0f", func(r Report) any { return r.TokensPerSecond }},
	{"control bytes a node and second", "%.0f", func(r Report) any { return r.ControlBytes }},
	{"control packets a node and second", "%.0f", func(r Report) any { return r.ControlPackets }},
	{"claims to own cells, share", "%.3f", func(r Report) any { return r.OwnClaims }},
	{"processor share of a router", "%.3f", func(r Report) any { return r.CPUShare }},
	{"resident memory of a router, MiB", "%.1f", func(r Report) any { return r.RSSMB }},
}

var floodRows = []row{
	{"others' first token p99, calm, ms", "%.1f", func(r Report) any { return r.Flood.Calm.P99 }},
	{"others' first token p99, flood, ms", "%.1f", func(r Report) any { return r.Flood.Flooded.P99 }},
	{"ratio", "%.2f", func(r Report) any { return r.Flood.P99Ratio }},
	{"share of the flood refused", "%.3f", func(r Report) any { return r.Flood.FlooderRefused }},
}

// WriteTable writes the variants side by side.
func WriteTable(w io.Writer, variants []Variant) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	for _, v := range variants {
		fmt.Fprint(table, "\t", v.Name)
	}
	fmt.Fprintln(table, "\t")
	writeRows(table, rows, variants)
	if allFlooded(variants) {
		writeRows(table, floodRows, variants)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeFaults(w, variants)
}

func allFlooded(variants []Variant) bool {
	for _, v := range variants {
		if v.Report.Flood == nil {
			return false
		}
	}
	return true
}

func writeRows(w io.Writer, list []row, variants []Variant) {
	for _, line := range list {
		fmt.Fprint(w, line.name)
		for _, v := range variants {
			fmt.Fprintf(w, "\t"+line.format, line.value(v.Report))
		}
		fmt.Fprintln(w, "\t")
	}
}

func writeFaults(w io.Writer, variants []Variant) error {
	for _, v := range variants {
		for _, fault := range append(v.Report.Faults, v.Report.Unmeasured...) {
			if _, err := fmt.Fprintf(w, "%s: %s\n", v.Name, fault); err != nil {
				return err
			}
		}
	}
	return nil
}

// WriteLatencies writes first-token and between-token times by organisation and class.
func WriteLatencies(w io.Writer, v Variant) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tclass\tanswers\tfirst p50 ms\tp99 ms\tbetween p50 ms\tp99 ms\t\n", v.Name)
	for _, l := range v.Report.Latencies {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", l.Org, l.Class, l.FirstToken.Count,
			l.FirstToken.P50, l.FirstToken.P99, l.BetweenTokens.P50, l.BetweenTokens.P99)
	}
	return table.Flush()
}
