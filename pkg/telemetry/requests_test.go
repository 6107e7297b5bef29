package telemetry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// heldScope gives scopes for new tags only once release is closed.
type heldScope struct {
	tally.Scope
	entered, release chan struct{}
}

func (s heldScope) Tagged(map[string]string) tally.Scope {
	close(s.entered)
	<-s.release
	return s.Scope
}

// Guards against requests that wait in line while a goroutine that has lost the processor makes the
// counters of another organisation.
func TestKnownOrganisationsAreCountedMeanwhile(t *testing.T) {
	r := NewRequests(tally.NoopScope)
	r.Refused("a", "stream", "overloaded")
	held := heldScope{Scope: tally.NoopScope, entered: make(chan struct{}), release: make(chan struct{})}
	defer close(held.release)
	r.scope = held
	go r.Refused("b", "stream", "overloaded")
	<-held.entered
	counted := make(chan struct{})
	go func() {
		r.Refused("a", "stream", "overloaded")
		r.Served("a", "stream", 1)
		close(counted)
	}()
	select {
	case <-counted:
	case <-time.After(10 * time.Second):
		require.Fail(t, "a request waits for another one's counters")
	}
}
