package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of recorded times, in microseconds and significant digits.
const (
	leastMicros = 1
	mostMicros  = 120_000_000
	digits      = 3
)

const microsPerMilli = 1000

// Times are percentiles of a set of times, in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastMicros, mostMicros, digits)
}

// record adds d; a time outside the range counts as its nearest end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros))
}

func timesOf(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Times{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}
