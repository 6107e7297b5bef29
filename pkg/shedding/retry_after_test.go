package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// A burst fills the shortest queue to 900 ms, and callers who may wait for 400 ms are refused.
// Told to come back in a quarter of a second, all of them find a queue of 650 ms and are refused
// for good, as they come back once; told the time that the queue needs, they find 400 ms.
func TestCallersComeBackWhenTheQueueIsShortEnough(t *testing.T) {
	const queue, limit = 900 * time.Millisecond, 400 * time.Millisecond
	limits := placement.Limits{Queue: limit, Wait: time.Second}
	for i := range 100 {
		pause := ComeBack(placement.Verdict{Queue: queue, Soonest: queue}, limits, float64(i)/100)
		require.LessOrEqual(t, queue-pause, limit, "what is left of the queue by then")
		require.Less(t, pause, time.Second, "the time to come back isn't later than it must be")
	}
}

// Where the queue is no reason, as for work over its share that did without its part of the room,
// the next reports tell whether there is room again.
func TestWithoutAQueueCallersComeBackSoon(t *testing.T) {
	limits := placement.Limits{Queue: 100 * time.Millisecond, Wait: time.Second}
	require.Equal(t, soonest, ComeBack(placement.Verdict{Queue: 50 * time.Millisecond}, limits, 0))
}

func TestPausesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
		}
		v := placement.Verdict{Queue: draw("queue"), Soonest: draw("soonest")}
		pause := ComeBack(v, placement.Limits{Queue: draw("queue limit"), Wait: draw("limit")}, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		require.GreaterOrEqual(t, pause, soonest)
		require.Less(t, pause, latest*3/2)
	})
}

// Nearly all requests of an organisation that is far ahead are held back. Told to come back with
// the next reports, each of its callers is refused again.
func TestWhoIsHeldBackComesBackLater(t *testing.T) {
	limits := placement.Limits{Queue: time.Second, Wait: time.Second, HeldBack: 0.9}
	require.GreaterOrEqual(t, ComeBack(placement.Verdict{}, limits, 0), 6*soonest)
}
