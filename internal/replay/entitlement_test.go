package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One organisation asks for several times its share, and gets more than it in short prompts alone:
// its long prompts find no room in what others leave, though it is due them.
func TestLongPromptsOfAnOrganisationOverItsShareKeepTheirChance(t *testing.T) {
	l := Load{Last: 10 * time.Second, Kinds: []Kind{
		{Rate: 80, Documents: 150, Document: 4000, Own: 6600, Output: 300, Spread: 0.9, Longest: 30_000},
		{Rate: 120, Documents: 250, Document: 100, Own: 630, Output: 200, Spread: 0.8, Longest: 3300},
		{Rate: 200, Documents: 80, Document: 500, Own: 1800, Output: 22, Spread: 0.5, Longest: 4000},
	}, Organisations: map[string]float64{"large": 4, "a": 0.5, "b": 0.4, "c": 0.3, "d": 0.2, "e": 0.1}}
	s := busyService()
	s.Capacity = 6e5
	play := func(d Decisions) (large, within Result) {
		for _, seed := range seeds {
			l.Seed = seed
			for org, r := range Run(d, s, busyModel(), l) {
				if org == "large" {
					large.add(*r)
				} else {
					within.add(*r)
				}
			}
		}
		return large, within
	}
	large, within := play(Decisions{Speeds: true, Pauses: true, Fetch: true, Herds: true, Bookings: true})
	entitled, beside := play(Decisions{Speeds: true, Pauses: true, Fetch: true, Herds: true, Bookings: true, Entitlement: true})
	t.Logf("large, without: %+v, with: %+v", large, entitled)
	t.Logf("within their share, without: %+v, with: %+v", within, beside)
	require.Greater(t, float64(entitled.Long), 1.25*float64(large.Long), "a quarter more long prompts are answered in time")
	require.GreaterOrEqual(t, float64(beside.InTime), 0.98*float64(within.InTime), "others get what they got")
}
