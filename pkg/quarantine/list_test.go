package quarantine

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A captain's question crashes every engine that runs it, and the caller sends it
// again and again. The first death leaves 31 others of the batch under suspicion;
// they run alone once and come free, the poison dies alone and is refused with a
// true verdict everywhere the news arrives.
func TestPoisonRefusedAfterSecondDeathInnocentsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := New(Config{}), New(Config{})
		const poison = 1
		for c := uint64(1); c <= 32; c++ {
			news, ok := here.Died(c, false)
			require.True(t, ok)
			there.Merge([]wire.Suspicion{news})
		}
		for c := uint64(2); c <= 32; c++ {
			require.Equal(t, 1, there.Deaths(c))
			news, ok := there.EndedAlone(c)
			require.True(t, ok)
			here.Merge([]wire.Suspicion{news})
			require.Zero(t, here.Deaths(c))
		}
		require.NoError(t, there.Check(poison))
		news, ok := there.Died(poison, true)
		require.True(t, ok)
		here.Merge([]wire.Suspicion{news})
		refusal := verdict.From(here.Check(poison))
		require.Equal(t, verdict.CodeQuarantined, refusal.Code)
		require.Equal(t, verdict.NotRun, refusal.Verdict)
		require.Equal(t, DefaultFadeAfter, refusal.RetryAfter)
	})
}

// A zone loses power: twenty engines die at once, many of them with the same popular
// check-in running. Nobody may refuse that check-in, since it never died alone.
func TestDeathsInCompanyNeverConfirm(t *testing.T) {
	l := New(Config{})
	for range 20 {
		l.Died(7, false)
	}
	require.Equal(t, 1, l.Deaths(7))
	require.NoError(t, l.Check(7))
}

// Engines die with full batches while a poison is confirmed. The innocents fill their
// own store; if they displaced the poison, it would be let in again and kill on.
func TestInnocentsDontDisplaceConfirmed(t *testing.T) {
	l := New(Config{MaxSuspects: 8, MaxConfirmed: 2})
	l.Died(1, false)
	l.Died(1, true)
	for c := uint64(2); c < 1000; c++ {
		l.Died(c, false)
	}
	require.Error(t, l.Check(1))
	require.LessOrEqual(t, len(l.Snapshot()), 10)
}

// A confirmed content fades: it goes through a time of running alone, in which one
// more death confirms it again, before it is forgotten. A peer that still holds the
// old news must not bring it back.
func TestFades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{})
		l.Died(1, false)
		old, _ := l.Died(1, true)
		<-time.After(DefaultFadeAfter)
		require.NoError(t, l.Check(1))
		require.Equal(t, 1, l.Deaths(1))
		require.Empty(t, l.Merge([]wire.Suspicion{old}), "faded news came back")
		l.Died(1, true)
		require.Error(t, l.Check(1))
		<-time.After(2 * DefaultFadeAfter)
		require.Zero(t, l.Deaths(1))
	})
}

// A run that began before the content was confirmed ends well late; that must not
// free a content that two upstreams died of.
func TestLateEndDoesNotClearConfirmed(t *testing.T) {
	l := New(Config{})
	l.Died(1, false)
	l.Died(1, true)
	_, ok := l.EndedAlone(1)
	require.False(t, ok)
	require.Error(t, l.Check(1))
}

// News cross, double and overtake each other between routers. All must end with the
// same opinion whatever the order.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		news := make([]wire.Suspicion, 6)
		for i := range news {
			news[i] = wire.Suspicion{Content: uint64(1 + r.IntN(2)), Deaths: uint32(r.IntN(3)),
				Cleared: r.IntN(2) == 0, Seq: uint64(r.IntN(3))}
		}
		synctest.Test(t, func(t *testing.T) {
			a, b := New(Config{}), New(Config{})
			a.Merge(news)
			r.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
			b.Merge(news)
			b.Merge(news)
			require.ElementsMatch(t, a.Snapshot(), b.Snapshot())
		})
	}
}

func TestUnknownContentIsNeverSuspect(t *testing.T) {
	l := New(Config{})
	_, ok := l.Died(0, true)
	require.False(t, ok)
	require.Zero(t, l.Deaths(0))
}
