package gatewayd

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

const (
	// closedIn bounds the time after which a connection makes room, pollEvery lies between two looks.
	closedIn  = 5 * time.Second
	pollEvery = 20 * time.Millisecond
)

// stuckConn is a connection on which nothing happens.
type stuckConn struct{}

func (stuckConn) SetReadDeadline(time.Time) error  { return nil }
func (stuckConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against limits that usual hosts meet in calm, or that exceed a small host's memory or descriptors.
func TestConnectionsAreLimitedByMemoryAndDescriptors(t *testing.T) {
	callers := connShares[callersEndpoint]
	require.Equal(t, connlimit.Limits{Open: 1072, Unfinished: 536}, callers.limit(134, 4100))
	require.Equal(t, connlimit.Limits{Open: 1345, Unfinished: 672}, callers.limit(1024, 4100), "descriptors bind")
	require.Equal(t, connlimit.Limits{Open: 1345, Unfinished: 672}, callers.limit(0, 4100))
	require.Equal(t, connlimit.Limits{Open: minConns, Unfinished: minConns}, callers.limit(134, otherDescriptors))
	require.Zero(t, callers.limit(0, 0))
}

// Guards against endpoints that together take more descriptors than there are. A caller's connection takes two.
func TestConnectionsLeaveDescriptorsForTheRest(t *testing.T) {
	for _, descriptors := range []int{1024, 4100, 10_250} {
		taken := 2 * connShares[callersEndpoint].limit(0, descriptors).Open
		for _, name := range []string{peersEndpoint, entriesEndpoint, readinessEndpoint, metricsEndpoint} {
			taken += connShares[name].limit(0, descriptors).Open
		}
		require.LessOrEqual(t, taken, descriptors-otherDescriptors, "%d", descriptors)
	}
}

// Guards against refusals that keep more descriptors, or more of what callers have sent, than there is room for.
func TestRefusalsAreLimitedByMemoryAndDescriptors(t *testing.T) {
	require.Equal(t, 268, maxRefusals(134, 4100))
	require.Equal(t, 17, maxRefusals(134, 200))
	require.Equal(t, 1, maxRefusals(134, 10))
	require.Zero(t, maxRefusals(0, 0))
}

// Guards against callers' connections whose unread bytes, with those of connections that wait to be accepted or refused, exceed what
// the runtime's soft limit leaves of the memory.
func TestUnreadBytesOfCallersFitTheMemory(t *testing.T) {
	// The kernel receives half as much again as a receive buffer has.
	const unread = callersReceiveBuffer * 3 / 2
	for _, memoryMiB := range []int{88, 134, 284} {
		limits := LimitSettings{MemoryMiB: memoryMiB, LinkMbps: 1000}
		conns := connShares[callersEndpoint].limit(memoryMiB, 0).Open + callersSocket(limits).Backlog + maxRefusals(memoryMiB, 0)
		require.LessOrEqual(t, int64(conns*unread), int64(memoryMiB)<<20-softMemoryLimit(memoryMiB)-programMemory/2, "%d MiB", memoryMiB)
	}
}

// Guards against clients that are closed without a line or a count, or with a line each.
func TestClosedClientsAreReported(t *testing.T) {
	lines, scope := memory.New(), tally.NewTestScope("", nil)
	c := newConnLimits(LimitSettings{MemoryMiB: 1}, scope, &log.Logger{Handler: lines, Level: log.InfoLevel})
	group := c.groups[metricsEndpoint]
	for range minConns {
		_, ok := group.Admit(stuckConn{})
		require.True(t, ok)
	}
	c.report()
	require.Empty(t, lines.Entries)
	require.Eventually(t, func() bool {
		_, ok := group.Admit(stuckConn{})
		return ok
	}, closedIn, pollEvery)
	c.report()
	c.report()
	require.Len(t, lines.Entries, 1)
	require.Equal(t, metricsEndpoint, lines.Entries[0].Fields.Get("endpoint"))
	require.EqualValues(t, 1, lines.Entries[0].Fields.Get("unfinished"))
	require.EqualValues(t, 1, scope.Snapshot().Counters()["clients_closed+endpoint=metrics,reason=unfinished"].Value())
}
