package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallTimesExcludeTheWait(t *testing.T) {
	var c CallTimes
	for i := range 200 {
		require.Equal(t, i < minCalls, c.Mean("s") == 0)
		waiting := i % 12
		c.Observe("s", 60*time.Millisecond+time.Duration(waiting)*10*time.Millisecond, waiting, 6)
	}
	require.InDelta(t, 60, ms(c.Mean("s")), 0.1)
}
