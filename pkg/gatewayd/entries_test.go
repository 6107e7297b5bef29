package gatewayd

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// Eighty routers are ready. A caller takes 64 addresses; named the same ones each time,
// sixteen routers would get no work.
func TestEntriesOfALargeFleet(t *testing.T) {
	seen := make(map[string]bool)
	for range 50 {
		var list []string
		for i := range 80 {
			list = append(list, fmt.Sprint(i))
		}
		given := sample(list)
		require.Len(t, given, maxEntries)
		for _, addr := range given {
			seen[addr] = true
		}
	}
	require.Len(t, seen, 80)
	require.Equal(t, []string{"a", "b"}, sample([]string{"a", "b"}))
}

// Nobody reads the log for a while. The engineer who reads it later must see the gap.
func TestDroppedLinesAreTold(t *testing.T) {
	lines, h := int64(0), memory.New()
	d := drops{count: func() int64 { return lines }, log: &log.Logger{Handler: h, Level: log.InfoLevel}, counter: tally.NoopScope.Counter("x")}
	d.tell()
	lines = 7
	d.tell()
	d.tell()
	require.Len(t, h.Entries, 1)
	require.EqualValues(t, 7, h.Entries[0].Fields["lines"])
}
