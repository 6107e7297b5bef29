package telemetry

import (
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/internal/heldscope"
)

// Guards against requests that wait in line while a goroutine that has lost the processor makes the
// counters of another organisation.
func TestKnownOrganisationsAreCountedMeanwhile(t *testing.T) {
	r := NewRequests(tally.NoopScope)
	r.Refused("a", "stream", "overloaded")
	held := heldscope.New()
	defer held.Release()
	r.scope = held
	go r.Refused("b", "stream", "overloaded")
	held.Entered()
	held.RequireNoWait(t, func() {
		r.Refused("a", "stream", "overloaded")
		r.Served("a", "stream", 1)
	})
}
