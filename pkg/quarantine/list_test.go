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

// A request crashes every engine that runs it, and its caller retries it again and again. The first
// crash makes the 31 other requests of the batch suspects. They run alone once and are cleared; the
// harmful request crashes an engine alone and is refused, as not run, by every router that receives
// the suspicion.
func TestConfirmedContentIsRefusedAndSuspectsAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := New(Config{}), New(Config{})
		const harmful = 1
		for c := uint64(1); c <= 32; c++ {
			suspicion, ok := here.RecordCrash(c, false)
			require.True(t, ok)
			there.Merge([]wire.Suspicion{suspicion})
		}
		for c := uint64(2); c <= 32; c++ {
			require.Equal(t, 1, there.CrashCount(c))
			suspicion, ok := there.RecordSoloCompletion(c)
			require.True(t, ok)
			here.Merge([]wire.Suspicion{suspicion})
			require.Zero(t, here.CrashCount(c))
		}
		require.NoError(t, there.Check(harmful))
		suspicion, ok := there.RecordCrash(harmful, true)
		require.True(t, ok)
		here.Merge([]wire.Suspicion{suspicion})
		refusal := verdict.From(here.Check(harmful))
		require.Equal(t, verdict.CodeQuarantined, refusal.Code)
		require.Equal(t, verdict.NotRun, refusal.Verdict)
		require.Equal(t, DefaultDuration, refusal.RetryAfter)
	})
}

// A zone loses power: twenty engines crash at once, and many of them were running the same popular
// request. It must not be refused, since no engine crashed while it ran alone.
func TestCrashesBesideOthersNeverConfirm(t *testing.T) {
	l := New(Config{})
	for range 20 {
		l.RecordCrash(7, false)
	}
	require.Equal(t, 1, l.CrashCount(7))
	require.NoError(t, l.Check(7))
}

// Engines crash with full batches while a harmful content is confirmed. The innocent suspects must
// not evict it, or it would be admitted again and crash further engines.
func TestInnocentsDontDisplaceConfirmed(t *testing.T) {
	l := New(Config{MaxSuspects: 8, MaxConfirmed: 2})
	l.RecordCrash(1, false)
	l.RecordCrash(1, true)
	for c := uint64(2); c < 1000; c++ {
		l.RecordCrash(c, false)
	}
	require.Error(t, l.Check(1))
	require.LessOrEqual(t, len(l.Snapshot()), 10)
}

// The suspicion of a confirmed content ends in two steps: for a time the content runs alone, so
// that one more crash confirms it again, and then it is forgotten. A peer that still has the old
// suspicion must not bring it back.
func TestSuspicionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{})
		l.RecordCrash(1, false)
		old, _ := l.RecordCrash(1, true)
		<-time.After(DefaultDuration)
		require.NoError(t, l.Check(1))
		require.Equal(t, 1, l.CrashCount(1))
		require.Empty(t, l.Merge([]wire.Suspicion{old}), "an ended suspicion came back")
		l.RecordCrash(1, true)
		require.Error(t, l.Check(1))
		<-time.After(2 * DefaultDuration)
		require.Zero(t, l.CrashCount(1))
	})
}

// A run that began before its content was confirmed completes late. That must not clear a content
// that has crashed two upstreams.
func TestLateEndDoesNotClearConfirmed(t *testing.T) {
	l := New(Config{})
	l.RecordCrash(1, false)
	l.RecordCrash(1, true)
	_, ok := l.RecordSoloCompletion(1)
	require.False(t, ok)
	require.Error(t, l.Check(1))
}

// Suspicions are reordered and duplicated on their way between routers. All routers must reach the
// same state in any order.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		suspicions := make([]wire.Suspicion, 6)
		for i := range suspicions {
			suspicions[i] = wire.Suspicion{Content: uint64(1 + r.IntN(2)), Deaths: uint32(r.IntN(3)),
				Cleared: r.IntN(2) == 0, Seq: uint64(r.IntN(3))}
		}
		synctest.Test(t, func(t *testing.T) {
			a, b := New(Config{}), New(Config{})
			a.Merge(suspicions)
			r.Shuffle(len(suspicions), func(i, j int) { suspicions[i], suspicions[j] = suspicions[j], suspicions[i] })
			b.Merge(suspicions)
			b.Merge(suspicions)
			require.ElementsMatch(t, a.Snapshot(), b.Snapshot())
		})
	}
}

func TestUnknownContentIsNeverSuspect(t *testing.T) {
	l := New(Config{})
	_, ok := l.RecordCrash(0, true)
	require.False(t, ok)
	require.Zero(t, l.CrashCount(0))
}
