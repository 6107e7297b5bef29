package load

import (
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// busyEvery is the pace of points in the plot of busy slots.
const busyEvery = 20 * time.Millisecond

// plotBusy shows how many completions ran at each moment, over all engines.
func plotBusy(file string, o Outcomes) error {
	p := plot.New()
	p.Title.Text = "Engine slots in use, " + o.Run.Scenario.Name
	p.X.Label.Text, p.Y.Label.Text = "seconds", "slots"
	p.Y.Min, p.Y.Max = 0, float64(o.Run.Scenario.Engines*o.Run.Scenario.Slots)
	if err := addLine(p, 0, "in use", busyPoints(o)); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

func busyPoints(o Outcomes) plotter.XYs {
	window := Span{o.Run.Start, o.Run.End}
	var starts, ends []time.Time
	for _, a := range o.Attempts {
		if a.Tokens > 0 { // a plain service's calls have none
			s := runSpan(a, window)
			starts, ends = append(starts, s.From), append(ends, s.To)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	slices.SortFunc(ends, time.Time.Compare)
	var points plotter.XYs
	for at := window.From; at.Before(window.To); at = at.Add(busyEvery) {
		points = append(points, plotter.XY{
			X: at.Sub(window.From).Seconds(), Y: float64(notAfter(starts, at) - notAfter(ends, at)),
		})
	}
	return points
}

// notAfter counts the sorted times up to at.
func notAfter(times []time.Time, at time.Time) int {
	n, _ := slices.BinarySearchFunc(times, at.Add(1), time.Time.Compare)
	return n
}
