// Package heldscope has a scope of metrics for tests that stands still while it makes a counter.
package heldscope

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// longest bounds what must not wait.
const longest = 10 * time.Second

// Scope gives scopes for new tags only once Release was called.
type Scope struct {
	tally.Scope
	entered, release chan struct{}
}

// New returns a scope that holds whoever asks it for tags.
func New() Scope {
	return Scope{Scope: tally.NoopScope, entered: make(chan struct{}), release: make(chan struct{})}
}

// Tagged tells Entered, and waits for Release.
func (s Scope) Tagged(map[string]string) tally.Scope {
	close(s.entered)
	<-s.release
	return s.Scope
}

// Entered waits until somebody is held.
func (s Scope) Entered() { <-s.entered }

// Release lets who is held go on.
func (s Scope) Release() { close(s.release) }

// RequireNoWait fails when do waits while somebody is held.
func (s Scope) RequireNoWait(t *testing.T, do func()) {
	done := make(chan struct{})
	go func() {
		do()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(longest):
		require.Fail(t, "a request waits for another one's counter")
	}
}
