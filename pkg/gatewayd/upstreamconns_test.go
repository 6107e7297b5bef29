package gatewayd

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// Guards against sums of connections that count an event twice, and against a line in each round without news.
func TestConnectionsToUpstreamsAreReportedOnce(t *testing.T) {
	lines, scope := memory.New(), tally.NewTestScope("", nil)
	opened := int64(3)
	c := upstreamConns{each: func(visit func(event, reason string, n int64)) {
		visit("opened", "first", opened)
		visit("closed", "stale", 0)
	}, scope: scope, log: &log.Logger{Handler: lines, Level: log.InfoLevel}}
	c.report()
	c.report()
	opened = 5
	c.report()
	require.Len(t, lines.Entries, 2)
	require.Equal(t, log.Fields{"event": "upstream_connections", "opened_first": int64(5)}, lines.Entries[1].Fields)
	require.EqualValues(t, 5, scope.Snapshot().Counters()["upstream_connections+event=opened,reason=first"].Value())
}
