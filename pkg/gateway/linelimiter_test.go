package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against upstreams in trouble that fill the log, and against lines that are left out without a trace.
func TestLinesAboutUpstreamsInTroubleAreLimited(t *testing.T) {
	var l lineLimiter
	now := time.Unix(10, 0)
	ok, left := l.allow(now)
	require.True(t, ok)
	require.Zero(t, left)
	for _, later := range []time.Duration{0, time.Millisecond, lineInterval - 1} {
		ok, left = l.allow(now.Add(later))
		require.False(t, ok)
		require.Zero(t, left)
	}
	ok, left = l.allow(now.Add(lineInterval))
	require.True(t, ok)
	require.EqualValues(t, 3, left)
	ok, _ = l.allow(now.Add(2*lineInterval - 1))
	require.False(t, ok, "the interval begins with the last line")
	ok, left = l.allow(now.Add(2 * lineInterval))
	require.True(t, ok)
	require.EqualValues(t, 1, left)
}
