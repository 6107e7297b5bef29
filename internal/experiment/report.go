package experiment

import (
	"html/template"
	"io"
	"math"

	"github.com/juju/errors"
)

// Sizes of the plot, in pixels.
const (
	plotWidth  = 640.0
	rowHeight  = 22.0
	labelWidth = 260.0
)

// bar is a day's row of the plot.
type bar struct {
	Pair
	Y, X, Width float64
	TextY       float64
	Gain        bool
}

// plot is the differences of a comparison as bars.
type plot struct {
	Width, Height, Middle float64
	Bars                  []bar
}

func newPlot(c *Comparison) plot {
	most := 0.0
	for _, p := range c.Pairs {
		most = max(most, math.Abs(p.Difference()))
	}
	half := (plotWidth - labelWidth) / 2
	pl := plot{Width: plotWidth, Height: rowHeight * float64(len(c.Pairs)+1), Middle: labelWidth + half}
	for i, p := range c.Pairs {
		width := 0.0
		if most > 0 {
			width = math.Abs(p.Difference()) / most * half
		}
		b := bar{Pair: p, Y: rowHeight * float64(i), X: pl.Middle, Width: width, Gain: p.Difference() >= 0}
		b.TextY = b.Y + rowHeight*3/4
		if !b.Gain {
			b.X -= width
		}
		pl.Bars = append(pl.Bars, b)
	}
	return pl
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Experiment</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}th:first-child,td:first-child{text-align:left}
.gain{fill:#2a7}.loss{fill:#c53}</style></head><body>
{{range .}}<h1>{{.C.Other}} against {{.C.Base}}</h1>
<p><b>{{.C.Verdict}}</b>: {{printf "%+.3f" .C.Mean}} of worth over {{len .C.Pairs}} days, standard error {{printf "%.3f" .C.Spread}},
95 % between {{printf "%+.3f" .C.Least}} and {{printf "%+.3f" .C.Most}}. Rules broken: {{.C.BaseBroken}} and {{.C.OtherBroken}}.</p>
<svg width="{{.P.Width}}" height="{{.P.Height}}" role="img">
{{range .P.Bars}}<text x="0" y="{{.TextY}}">{{.Site}} {{.Day}} {{.Seed}}</text>
<rect class="{{if .Gain}}gain{{else}}loss{{end}}" x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="16"><title>{{printf "%+.3f" .Difference}}</title></rect>
{{end}}<line x1="{{.P.Middle}}" x2="{{.P.Middle}}" y1="0" y2="{{.P.Height}}" stroke="#888"/></svg>
<table><tr><th>day</th><th>seed</th><th>how</th><th>{{.C.Base}}</th><th>{{.C.Other}}</th><th>difference</th><th>plays</th></tr>
{{range .C.Pairs}}<tr><td>{{.Site}} {{.Day}}</td><td>{{.Seed}}</td><td>{{.How}}</td><td>{{printf "%.3f" .Base}}</td><td>{{printf "%.3f" .Other}}</td>
<td>{{printf "%+.3f" .Difference}}</td><td>{{.BasePlays}}, {{.OtherPlays}}</td></tr>
{{end}}</table>{{end}}</body></html>
`))

// WriteHTML writes comparisons as a page with a plot and a table for each.
func WriteHTML(w io.Writer, list []Comparison) error {
	type section struct {
		C Comparison
		P plot
	}
	var sections []section
	for _, c := range list {
		sections = append(sections, section{C: c, P: newPlot(&c)})
	}
	return errors.Trace(page.Execute(w, sections))
}
