package load

import (
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plots.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plots writes three plots of an experiment to dir, with prefix before their names:
// service.png (service over time by organisation), firsttoken.png (distribution of
// first-token times) and busy.png (engine slots in use over time).
func Plots(dir, prefix string, o Outcomes) error {
	path := func(name string) string { return filepath.Join(dir, prefix+name+".png") }
	if err := plotService(path("service"), o.Run); err != nil {
		return errors.Annotate(err, "plot the service")
	}
	if err := plotFirstTokens(path("firsttoken"), o.Run); err != nil {
		return errors.Annotate(err, "plot first tokens")
	}
	return errors.Annotate(plotBusy(path("busy"), o), "plot busy slots")
}

func plotService(file string, run Run) error {
	p := plot.New()
	p.Title.Text = "Weighted service received, " + run.Scenario.Name
	p.X.Label.Text, p.Y.Label.Text = "seconds", "tokens"
	p.Legend.Top, p.Legend.Left = true, true
	for i, org := range run.Orgs {
		points := make(plotter.XYs, len(run.Samples))
		for k, s := range run.Samples {
			points[k] = plotter.XY{X: s.At.Sub(run.Start).Seconds(), Y: float64(s.Tokens[i]) / org.Weight}
		}
		if err := addLine(p, i, org.Name, points); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, file)
}

func plotFirstTokens(file string, run Run) error {
	p := plot.New()
	p.Title.Text = "First token, from the intended start, " + run.Scenario.Name
	p.X.Label.Text, p.Y.Label.Text = "milliseconds", "share of requests"
	p.Legend.Top, p.Legend.Left = true, true
	for i, org := range run.Orgs {
		points := distribution(run.Results, org.Name)
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, i, org.Name, points); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, file)
}

// distribution is the cumulative distribution of an organisation's first-token times,
// at each whole percentile.
func distribution(results []Result, org string) plotter.XYs {
	h := firstTokens(results, func(r Result) bool { return r.Org.Name == org })
	if h.TotalCount() == 0 {
		return nil
	}
	var points plotter.XYs
	for percent := 0.0; percent <= 100; percent++ {
		points = append(points, plotter.XY{X: float64(h.ValueAtQuantile(percent)) / microsPerMilli, Y: percent / 100})
	}
	return points
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
