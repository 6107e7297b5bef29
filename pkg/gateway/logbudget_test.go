package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flood of refused requests that fills the log and uses up the CPU, and against
// dropping the few lines that explain another failure.
func TestLogBudgetBoundsAndCounts(t *testing.T) {
	var b logBudget
	now := time.Unix(10, 0)
	written := 0
	for range 1000 {
		if ok, _, _ := b.allow(false, now); ok {
			written++
		}
	}
	require.Equal(t, maxFailedLines, written)
	ok, _, _ := b.allow(true, now)
	require.True(t, ok, "served requests have a budget of their own")
	ok, served, failed := b.allow(false, now.Add(time.Second))
	require.True(t, ok)
	require.Zero(t, served)
	require.EqualValues(t, 1000-maxFailedLines, failed)
}
