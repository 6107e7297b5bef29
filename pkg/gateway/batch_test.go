package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against delaying events on a router that has CPU to spare, and against relaying them one by
// one where that takes the CPU that other requests need.
func TestEventsAreBatchedWhereStreamsAreMany(t *testing.T) {
	const maxDelay = 200 * time.Millisecond
	require.Zero(t, batchDelay(70, 0.2, maxDelay))
	require.Equal(t, maxDelay/2, batchDelay(100, 0.2, maxDelay))
	require.Zero(t, batchDelay(300, 0.8, maxDelay))
	require.Zero(t, batchDelay(10_000, 0, maxDelay), "the CPU is unknown")
	require.Zero(t, batchDelay(10_000, 0.2, 0), "the allowed delay is unknown")
}
