package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against upstreams in trouble that fill the log, and against lines that are left out without a trace.
func TestExcessesAreLoggedOncePerInterval(t *testing.T) {
	var l excessLog
	now := time.Unix(10, 0)
	ok, left := l.allow(now)
	require.True(t, ok)
	require.Zero(t, left)
	for _, later := range []time.Duration{0, time.Millisecond, excessLogInterval - 1} {
		ok, left = l.allow(now.Add(later))
		require.False(t, ok)
		require.Zero(t, left)
	}
	ok, left = l.allow(now.Add(excessLogInterval))
	require.True(t, ok)
	require.EqualValues(t, 3, left)
	ok, _ = l.allow(now.Add(2*excessLogInterval - 1))
	require.False(t, ok, "the interval begins with the last line")
	ok, left = l.allow(now.Add(2 * excessLogInterval))
	require.True(t, ok)
	require.EqualValues(t, 1, left)
}
