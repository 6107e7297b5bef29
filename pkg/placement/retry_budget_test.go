package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retries that amplify an overload: when a service fails half of its calls and each
// failure is retried, it gets far more calls than its callers make.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := new(Budget)
	b.Set(0.2, 40, 10*time.Second)
	now := time.Unix(0, 0)
	for range 100 {
		b.Request("app", now)
	}
	retries := 0
	for range 100 {
		if b.Repeat("app", 4, now) {
			retries++
		}
	}
	require.Equal(t, 21, retries, "0.7 times the sum of a fifth of 100 and a quarter of 40")
	require.True(t, b.Repeat("other", 4, now), "services are counted separately")
	require.True(t, b.Repeat("app", 4, now.Add(11*time.Second)), "counts older than a window are dropped")
}
