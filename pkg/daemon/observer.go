package daemon

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// observer passes the edge's measurements to the metrics.
type observer struct{ requests *telemetry.Requests }

var classNames = [...]string{wire.ClassUrgent: "urgent", wire.ClassNormal: "normal", wire.ClassBatch: "batch"}

func className(c wire.Class) string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// Waited implements edge.Observer.
func (o observer) Waited(org string, c wire.Class, d time.Duration) {
	o.requests.QueueWait(org, className(c), d)
}

// FirstToken implements edge.Observer.
func (o observer) FirstToken(org string, c wire.Class, d time.Duration) {
	o.requests.FirstToken(org, className(c), d)
}

// BetweenTokens implements edge.Observer.
func (o observer) BetweenTokens(org string, c wire.Class, d time.Duration) {
	o.requests.BetweenTokens(org, className(c), d)
}

// Served implements edge.Observer.
func (o observer) Served(org string, c wire.Class, units wire.Units) {
	o.requests.Served(org, className(c), units)
}

// Refused implements edge.Observer.
func (o observer) Refused(org string, c wire.Class, code verdict.Code) {
	o.requests.Refused(org, className(c), string(code))
}
