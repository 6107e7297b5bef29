package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A flood of refused requests would fill the log and cost the processor's time; the few
// lines that explain another failure must still come.
func TestLineBudgetBoundsAndCounts(t *testing.T) {
	var b lineBudget
	now := time.Unix(10, 0)
	written := 0
	for range 1000 {
		if ok, _, _ := b.allow(false, now); ok {
			written++
		}
	}
	require.Equal(t, failedLines, written)
	ok, _, _ := b.allow(true, now)
	require.True(t, ok, "served requests have a budget of their own")
	ok, served, failed := b.allow(false, now.Add(time.Second))
	require.True(t, ok)
	require.Zero(t, served)
	require.EqualValues(t, 1000-failedLines, failed)
}
