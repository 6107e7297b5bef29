package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Spans of contact must not grow as routers relay them, nor by ages that are out of range.
func TestRelayedContactsNeverGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		since, until, now := start, start.Add(time.Second), start.Add(time.Second)
		for range rapid.IntRange(1, 200).Draw(t, "exchanges") {
			createdAt := now.Add(time.Duration(rapid.IntRange(0, 500_000).Draw(t, "pause")) * time.Microsecond)
			now = createdAt.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "in transit")) * time.Microsecond)
			since, until = NewStoreContact(since, until, createdAt).span(createdAt, now)
			require.False(t, since.Before(start))
			require.False(t, until.After(start.Add(time.Second)))
		}
	})
	now := time.Unix(10_000, 0)
	for _, ms := range []int64{math.MinInt64, -1, 0, math.MaxInt64} {
		since, until := (&StoreContact{SinceMs: ms, AgeMs: ms}).span(now, now)
		require.False(t, since.After(now) || until.After(now), ms)
		require.False(t, since.Before(now.Add(-time.Hour)), ms)
	}
	require.Nil(t, NewStoreContact(time.Time{}, time.Time{}, now))
}

// Reports carry the newest contact with the store.
func TestReportsCarryTheStoreContact(t *testing.T) {
	a, b := newRouter(t, "a", []byte("secret")), newRouter(t, "b", []byte("secret"))
	a.contact = &StoreContact{SinceMs: 9000, AgeMs: 100}
	now := time.Now()
	report, _ := a.fleet.describeSelf(false)
	b.fleet.handleReport(&report, now)
	require.False(t, b.storeSince.Before(now.Add(-9*time.Second)))
	require.False(t, b.storeSince.After(time.Now().Add(-9*time.Second)))
	require.Equal(t, now.Add(-100*time.Millisecond), b.storeUntil)
}
