package edge

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Observer takes measurements of requests. org is empty for unauthenticated ones.
type Observer interface {
	// Waited is the time from receipt to a slot.
	Waited(org string, class wire.Class, d time.Duration)
	// FirstToken is the time from receipt to the first event on its way to the caller.
	FirstToken(org string, class wire.Class, d time.Duration)
	// BetweenTokens is the time between two events of one stream.
	BetweenTokens(org string, class wire.Class, d time.Duration)
	// Served is the measured service of one attempt.
	Served(org string, class wire.Class, units wire.Units)
	// Refused counts error answers.
	Refused(org string, class wire.Class, code verdict.Code)
}

type noObserver struct{}

func (noObserver) Waited(string, wire.Class, time.Duration)        {}
func (noObserver) FirstToken(string, wire.Class, time.Duration)    {}
func (noObserver) BetweenTokens(string, wire.Class, time.Duration) {}
func (noObserver) Served(string, wire.Class, wire.Units)           {}
func (noObserver) Refused(string, wire.Class, verdict.Code)        {}
