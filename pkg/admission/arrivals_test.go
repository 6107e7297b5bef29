package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetryAfterGrowsWithShedShare(t *testing.T) {
	var a arrivals
	for range 100 {
		a.countAdmitted(start)
	}
	require.Equal(t, minRetryAfter, a.retryAfter(start))
	for range 300 {
		a.countShed(1, start)
	}
	require.Equal(t, 4*minRetryAfter, a.retryAfter(start))
	for range 5000 {
		a.countShed(1, start)
	}
	require.Equal(t, maxRetryAfter, a.retryAfter(start))
	later := start.Add(10 * arrivalWindow)
	for range 100 {
		a.countAdmitted(later)
	}
	require.InDelta(t, minRetryAfter, a.retryAfter(later), float64(10*time.Millisecond))
}
