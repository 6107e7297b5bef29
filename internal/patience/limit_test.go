package patience

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// answersAfter returns a call to a service that answers after a time.
func answersAfter(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
}

// Guards against a service that is slow and never gets the time to answer, and against long waits for one that is quick again.
func TestLimitGrowsWhileCallsRunIntoIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimit(6 * time.Second)
		for _, want := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 6 * time.Second} {
			require.Error(t, l.Do(t.Context(), time.Second, answersAfter(time.Hour)))
			require.Equal(t, want, l.Get(time.Second))
		}
		require.Error(t, l.Do(t.Context(), time.Second, func(context.Context) error { return errors.New("refused") }))
		require.Equal(t, 6*time.Second, l.Get(time.Second), "a refusal tells nothing of the time")
		require.NoError(t, l.Do(t.Context(), time.Second, answersAfter(1400*time.Millisecond)))
		require.Equal(t, 5600*time.Millisecond, l.Get(time.Second))
		for range 3 {
			require.NoError(t, l.Do(t.Context(), time.Second, answersAfter(time.Millisecond)))
		}
		require.Equal(t, time.Second, l.Get(time.Second))
	})
}

// Guards against a bound that several calls to the same service raise together, though each could wait no longer.
func TestCallsThatRunIntoTheSameLimitCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimit(time.Minute)
		done := make(chan error)
		for range 3 {
			go func() { done <- l.Do(t.Context(), time.Second, answersAfter(time.Hour)) }()
		}
		for range 3 {
			require.Error(t, <-done)
		}
		require.Equal(t, 2*time.Second, l.Get(time.Second))
	})
}
