// Package telemetry holds the metrics and logs of a daemon.
//
// Metrics are tally scopes reported in the Prometheus text format. Labels come from
// bounded sets only: organisations past MaxOrgs are counted together.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is how often tally hands its values to the reporter.
const reportEvery = time.Second

// sanitizer differs from tallyprom's in the values of labels, which may hold any text in
// the Prometheus format. Its rule would write "_" for "-" and "." and so count the
// organisations "north-a" and "north.a" together.
var sanitizer = tally.SanitizeOptions{
	NameCharacters: tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics is a daemon's root scope and the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a root scope with prefix "flamingowind".
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "flamingowind",
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &sanitizer,
	}, reportEvery)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// ServeHTTP serves the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close reports the last values and stops the reporting goroutine.
func (m *Metrics) Close() error { return errors.Trace(m.closer.Close()) }
