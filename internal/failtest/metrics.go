package failtest

import (
	"io"
	"net/http"
	"strconv"
	"strings"
)

// AwaitGauge waits until each router shows a gauge without labels at a value; name
// goes without the prefix of all metrics.
func (w *World) AwaitGauge(name string, value float64) {
	w.t.Helper()
	w.Eventually(name+" everywhere", func() bool {
		for _, r := range w.Routers {
			if w.gauge(r.Info.Metrics, name) != value {
				return false
			}
		}
		return true
	})
}

// Sum adds up a counter without labels over all routers that have it.
func (w *World) Sum(name string) float64 {
	w.t.Helper()
	sum := 0.0
	for _, r := range w.Routers {
		sum += max(0, w.gauge(r.Info.Metrics, name))
	}
	return sum
}

// gauge reads one value; a metric that isn't there yet is -1.
func (w *World) gauge(metrics, name string) float64 {
	w.t.Helper()
	resp, err := http.Get("http://" + metrics + "/metrics")
	w.must(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	w.must(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "flamingowind_"+name+" "); ok {
			number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			w.must(err)
			return number
		}
	}
	return -1
}
