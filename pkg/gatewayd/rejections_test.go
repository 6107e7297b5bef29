package gatewayd

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// Guards against callers that are turned away without a word of what the host gave the router.
func TestRejectionLogNamesTheShareOfACore(t *testing.T) {
	lines := memory.New()
	refused := int64(0)
	r := rejections{
		counts: func() (int64, int64) { return refused, 2 }, meanTime: func() time.Duration { return 25 * time.Microsecond },
		coreShare: func() float64 { return 0.096 }, log: &log.Logger{Handler: lines, Level: log.InfoLevel}, counter: tally.NoopScope.Counter("c"),
	}
	refused = 7
	r.report()
	r.report()
	require.Len(t, lines.Entries, 1, "nobody was turned away since")
	require.Equal(t, log.Fields{"event": "connections_turned_away", "refused": int64(7), "closed": int64(2), "each_us": int64(25), "core_percent": 10}, lines.Entries[0].Fields)
}
