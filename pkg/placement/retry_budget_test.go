package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retries that amplify an overload: when a service fails half of its calls and each
// failure is retried, it gets far more calls than its callers make.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	budget := new(RetryBudget)
	budget.Set(0.2, 40, 10*time.Second)
	now := time.Unix(0, 0)
	for range 100 {
		budget.CountRequest("app", now)
	}
	retries := 0
	for range 100 {
		if budget.AllowRetry("app", 4, now) {
			retries++
		}
	}
	require.Equal(t, 21, retries, "0.7 times the sum of a fifth of 100 and a quarter of 40")
	require.True(t, budget.AllowRetry("other", 4, now), "services are counted separately")
	require.True(t, budget.AllowRetry("app", 4, now.Add(11*time.Second)), "counts older than a window are dropped")
}
