package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPauseGrowsWithWhatIsTurnedAway(t *testing.T) {
	var l load
	for range 100 {
		l.letIn(start)
	}
	require.Equal(t, leastPause, l.pause(start))
	for range 300 {
		l.turnedAway(1, start)
	}
	require.Equal(t, 4*leastPause, l.pause(start))
	for range 5000 {
		l.turnedAway(1, start)
	}
	require.Equal(t, mostPause, l.pause(start))
	later := start.Add(10 * shareWindow)
	for range 100 {
		l.letIn(later)
	}
	require.InDelta(t, leastPause, l.pause(later), float64(10*time.Millisecond))
}
