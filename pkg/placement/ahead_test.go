package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a standing that hides unequal treatment: with all callers of one organisation at a
// small router, two organisations over their due have standings of 3.1 and 1.3, and neither number
// tells that over six seconds one got 5.2 million tokens and the other, which asks for as much, 2.3
// million.
func TestStandingTellsWhoIsAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShares()
	use := map[string]Use{"behind": {Asked: 2000, Got: 380}, "large": {Asked: 3000, Got: 900}, "small": {Asked: 20, Got: 20}}
	s.SetOthers(use)
	large := s.Standing("large", 600, now)
	require.InDelta(t, 900/((600.0-20)/2), large.ShareRatio, 0.01)
	require.InDelta(t, 900.0/380, large.Ahead, 0.01)
	require.Equal(t, 1.0, s.Standing("behind", 600, now).Ahead)
	require.Zero(t, s.Standing("small", 600, now).Ahead, "it is within its share")

	use["behind"] = Use{Asked: 400, Got: 10}
	require.Equal(t, 1.0, s.Standing("large", 600, now).Ahead, "the other one asks for less")
	use["behind"] = Use{Asked: 2000}
	require.InDelta(t, 900/(0.2*290), s.Standing("large", 600, now).Ahead, 0.1, "the least got is bounded")
}
