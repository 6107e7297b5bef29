package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// levelOf is the water level of uses.
func levelOf(uses map[string]Use, capacity float64) float64 {
	var asked []float64
	for _, u := range uses {
		asked = append(asked, u.Asked)
	}
	return waterLevel(asked, capacity)
}

func TestWaterLevelSharesTheRest(t *testing.T) {
	uses := map[string]Use{"small": {Asked: 10}, "large": {Asked: 100}, "huge": {Asked: 1000}}
	require.InDelta(t, 55, levelOf(uses, 120), 1e-9)
	require.True(t, math.IsInf(levelOf(uses, 2000), 1))
}

func TestWaterLevelUsesUpTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses := make(map[string]Use)
		total := 0.0
		for i, a := range rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 20).Draw(t, "asked") {
			uses[string(rune('a'+i))] = Use{Asked: a}
			total += a
		}
		capacity := rapid.Float64Range(1, 2e6).Draw(t, "capacity")
		level := levelOf(uses, capacity)
		given := 0.0
		for _, u := range uses {
			given += min(u.Asked, level)
		}
		if math.Abs(given-min(total, capacity)) > 1e-6*(1+capacity) {
			t.Fatalf("level %v gives %v of %v asked at capacity %v", level, given, total, capacity)
		}
	})
}

// Guards against shares of the declared capacity when engines crash and do half of it: nobody would
// be over its share, and whoever asks most would get most.
func TestStandingIsMeasuredOnWhatEnginesDo(t *testing.T) {
	s, now := NewShares(), time.Unix(100, 0)
	s.AddAsked("flood", 10_000, now)
	s.AddGot("flood", 900, now)
	s.AddAsked("small", 500, now)
	s.AddGot("small", 100, now)
	declared := 900.0 // the two get 500 a second
	require.Greater(t, s.Standing("flood", declared, now).ShareRatio, 1.0)
	require.Less(t, s.Standing("small", declared, now).ShareRatio, 1.0)
	require.False(t, s.Standing("flood", declared, now).AtCapacity)
	require.True(t, s.Standing("flood", 400, now).AtCapacity)
}

// Guards against refusals while engines are idle after all routers start under load: nobody has got
// anything yet, and measured against that the first requests would put their organisations over
// their share.
func TestStandingAfterAStart(t *testing.T) {
	s, now := NewShares(), time.Unix(100, 0)
	for _, org := range []string{"a", "b", "c"} {
		s.AddAsked(org, 5000, now)
		s.AddGot(org, 200, now)
	}
	require.Less(t, s.Standing("a", 10_000, now).ShareRatio, 1.0)
}

func TestStandingCountsAllRouters(t *testing.T) {
	s, now := NewShares(), time.Unix(100, 0)
	s.AddAsked("org", 1000, now)
	s.AddGot("org", 100, now)
	s.AddAsked("other", 1000, now)
	s.AddGot("other", 900, now)
	require.Less(t, s.Standing("org", 600, now).ShareRatio, 1.0)
	s.SetOthers(map[string]Use{"org": {Asked: 5000, Got: 4000}})
	require.Greater(t, s.Standing("org", 600, now).ShareRatio, 1.0)
}

func TestTrafficDecays(t *testing.T) {
	s, now := NewShares(), time.Unix(100, 0)
	s.AddGot("org", 1000, now)
	later := s.Own(now.Add(10 * time.Second))["org"].Got
	require.Less(t, later, 10.0)
}

// Requests that are taken back leave what would remain if they had never been counted, however late
// they are taken back, and the sum is never negative.
func TestRequestsTakenBackLeaveNoTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, begunOnly := NewShares(), NewShares()
		now := time.Unix(1000, 0)
		type sentRequest struct {
			size float64
			at   time.Time
		}
		var notBegun []sentRequest
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			sent := sentRequest{rapid.Float64Range(1, 1e5).Draw(t, "size"), now}
			s.AddGot("org", sent.size, now)
			if rapid.Bool().Draw(t, "begins") {
				begunOnly.AddGot("org", sent.size, now)
			} else {
				notBegun = append(notBegun, sent)
			}
		}
		for _, sent := range notBegun {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "later")) * time.Millisecond)
			s.TakeBack("org", sent.size, sent.at, now)
		}
		got, want := s.Own(now)["org"].Got, begunOnly.Own(now)["org"].Got
		if got < 0 || math.Abs(got-want) > 1e-6*(1+want) {
			t.Fatalf("got %v remains, want %v", got, want)
		}
	})
}
