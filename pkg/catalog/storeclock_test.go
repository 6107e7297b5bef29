package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against responses that are dated later than they were sent, whatever delayed them.
func TestResponsesAreNeverDatedTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c storeClock
		start := time.Unix(1_000_000, 0)
		began := time.Duration(rapid.IntRange(1, 1_000_000).Draw(t, "store's clock")) * time.Millisecond
		now := time.Duration(0)
		ms := func(most int, what string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, what)) * time.Millisecond
		}
		for range rapid.IntRange(1, 50).Draw(t, "responses") {
			requested := now + ms(700, "pause")
			sent := requested + ms(1500, "there")
			read := sent + ms(4000, "back")
			date := c.asOf(start.Add(requested), start.Add(read), began+sent)
			require.False(t, date.After(start.Add(sent)))
			require.False(t, date.Before(start.Add(requested)))
			now = read
		}
	})
}

// Guards against dating responses by a clock that jumped.
func TestClockJumpsAreDetected(t *testing.T) {
	var c storeClock
	start, quick := time.Unix(1_000_000, 0), 4*time.Millisecond
	for i, clock := range []time.Duration{time.Hour, time.Hour + time.Second, time.Minute, time.Minute + time.Second, 2 * time.Hour} {
		requested := start.Add(time.Duration(i) * time.Second)
		require.WithinDuration(t, requested, c.asOf(requested, requested.Add(quick), clock), quick)
	}
	require.Equal(t, start, c.asOf(start.Add(-time.Second), start, 0), "a store without a clock")
}
