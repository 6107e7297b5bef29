package booking

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const maxPause = 400 * time.Millisecond

var start = time.Unix(1_000_000, 0)

func usual() limits { return limitsFor(maxPause, DefaultRunShare, false) }

func delay(c calendar, now time.Time, prefill time.Duration) time.Duration {
	d, _ := c.turn(now, prefill, usual())
	return d
}

// Guards against prompts that fill the break before a run which is still to begin.
func TestPromptsDoNotOvertakeARunThatIsStillToBegin(t *testing.T) {
	var c calendar
	var delays []time.Duration
	for _, prefill := range []time.Duration{100, 100, 100, 50, 50} {
		delays = append(delays, c.book(start, prefill*time.Millisecond, usual())/time.Millisecond)
	}
	require.Equal(t, []time.Duration{0, 0, 250, 250, 250}, delays)
}

func TestPromptsBeyondARunWaitForABreak(t *testing.T) {
	var c calendar
	l := usual()
	require.Zero(t, c.book(start, 100*time.Millisecond, l))
	require.Zero(t, c.book(start, 100*time.Millisecond, l), "the run is within its limit of 240 ms")
	require.Equal(t, 250*time.Millisecond, c.book(start, 100*time.Millisecond, l), "after the run of 200 ms and a break of 50")
	require.Equal(t, 350*time.Millisecond, c.remaining(start))
}

func TestAPromptLongerThanARunIsPrefilledAtOnceAtAnIdleEngine(t *testing.T) {
	var c calendar
	require.Zero(t, c.book(start, time.Second, usual()))
	require.Equal(t, time.Second+50*time.Millisecond, delay(c, start, 10*time.Millisecond))
}

func TestABreakEndsARun(t *testing.T) {
	var c calendar
	l := usual()
	c.book(start, 200*time.Millisecond, l)
	require.Equal(t, 10*time.Millisecond, delay(c, start.Add(240*time.Millisecond), 100*time.Millisecond), "the streams had 40 ms of 50")
	require.Zero(t, delay(c, start.Add(250*time.Millisecond), 100*time.Millisecond))
}

// Runs never overlap, no run exceeds its limit by more than one prompt that is longer than it, and
// two runs are a break apart, whatever is booked when.
func TestRunsKeepTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c calendar
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			prefill := time.Duration(rapid.IntRange(1, 600).Draw(t, "prefill")) * time.Millisecond
			l := limitsFor(maxPause, DefaultRunShare, rapid.Bool().Draw(t, "over"))
			before := c
			delay := c.book(now, prefill, l)
			at := now.Add(delay)
			require.GreaterOrEqual(t, delay, time.Duration(0))
			require.False(t, c.end.Before(before.end), "no booked time is lost")
			require.False(t, c.end.Before(at.Add(prefill)), "the whole prefill is booked")
			require.False(t, at.Before(c.start), "nothing is sent before its run begins")
			if c.start.Equal(before.start) {
				require.LessOrEqual(t, c.end.Sub(c.start), l.run)
			} else {
				require.False(t, c.start.Before(before.end.Add(l.pause)) && !before.end.IsZero(), "a break lies between two runs")
			}
		}
	})
}

func TestMinPrefillFollowsThePause(t *testing.T) {
	require.Equal(t, 16*time.Millisecond, MinPrefill(maxPause))
	require.Equal(t, 24*time.Millisecond, MinPrefill(600*time.Millisecond))
}
