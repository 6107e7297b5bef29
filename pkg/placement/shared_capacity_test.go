package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against shares of the declared capacity where slots limit the engines to a fifth of it:
// two organisations take four fifths of that, a small one gets a sixth of what it asks for, and
// none counts as over its share.
//
//	fairness: 466,414 tokens asked, 80,824 given; another one got 1,264,379
func TestSharesFollowWhatEnginesDo(t *testing.T) {
	const capacity = 2_500_000
	s, now := NewShares(), time.Unix(1000, 0)
	s.SetOthers(map[string]Use{
		"large": {Asked: 700_000, Got: 210_000}, "larger": {Asked: 600_000, Got: 190_000},
		"middle": {Asked: 150_000, Got: 90_000}, "small": {Asked: 80_000, Got: 13_000},
	})
	require.Greater(t, s.Standing("large", capacity, now).ShareRatio, 1.2)
	require.Less(t, s.Standing("middle", capacity, now).ShareRatio, 0.8)
	require.Less(t, s.Standing("small", capacity, now).ShareRatio, 0.5)
}

// Guards against shares that shrink with what is got: organisations over their share are held back,
// less is got, and they would be further over their share until engines are idle.
func TestGivingWayDoesNotShrinkShares(t *testing.T) {
	const capacity = 2_500_000
	s, now := NewShares(), time.Unix(1000, 0)
	s.SetOthers(map[string]Use{"large": {Asked: 900_000, Got: 400_000}, "other": {Asked: 300_000, Got: 100_000}})
	before := s.Standing("large", capacity, now)
	require.Greater(t, before.ShareRatio, 1.2)
	s.SetOthers(map[string]Use{"large": {Asked: 900_000, Got: 220_000}, "other": {Asked: 300_000, Got: 200_000}})
	require.Less(t, s.Standing("large", capacity, now.Add(2*time.Second)).ShareRatio, 1.0)
}

// When nearly all that is asked for is got, the rest says nothing about the engines.
func TestSmallRefusalsHoldNobodyBack(t *testing.T) {
	const capacity = 1_000_000
	s, now := NewShares(), time.Unix(1000, 0)
	s.SetOthers(map[string]Use{"large": {Asked: 300_000, Got: 270_000}, "other": {Asked: 50_000, Got: 45_000}})
	require.Zero(t, s.Standing("large", capacity, now).ShareRatio)
}
