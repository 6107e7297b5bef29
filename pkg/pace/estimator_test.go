package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

var (
	slowLife  = upstream.Life{ID: "slow", Start: 1}
	usualLife = upstream.Life{ID: "usual", Start: 1}
	epoch     = time.Unix(0, 0)
)

// sample is a prompt that took factor times as long as usual.
func sample(life upstream.Life, factor float64) Sample {
	base := 200 * time.Millisecond
	return Sample{Service: "llm", Life: life, Context: 4000, Base: base, Seen: time.Duration(factor * float64(base))}
}

// Guards against one speed for all engines: an engine that is half as fast as the others would get
// as many prompts as they do, and its queue would grow until they are late.
func TestASlowEngineIsDetectedAfterAFewPrompts(t *testing.T) {
	b := NewBook()
	for i := range 20 {
		b.Observe(sample(slowLife, 2), epoch.Add(time.Duration(i)*100*time.Millisecond))
		b.Observe(sample(usualLife, 1), epoch.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := epoch.Add(2 * time.Second)
	require.InDelta(t, 1.8, b.Slowness(slowLife, now), 0.1)
	require.InDelta(t, 1, b.Slowness(usualLife, now), 0.01)
	require.InDelta(t, 1, b.Slowness(upstream.Life{ID: "slow", Start: 2}, now), 0.01, "a new life starts with the usual speed")
	require.InDelta(t, 1, b.Slowness(slowLife, now.Add(time.Minute)), 0.05, "the measurements decay")
}

func TestOneOutlierMovesSlownessLittle(t *testing.T) {
	b := NewBook()
	b.Observe(sample(slowLife, 1000), epoch)
	require.Less(t, b.Slowness(slowLife, epoch), 1.6)
}

func TestQueuedPromptsAreIgnored(t *testing.T) {
	b := NewBook()
	s := sample(slowLife, 5)
	s.Queue = s.Base + 1
	b.Observe(s, epoch)
	require.Equal(t, 1.0, b.Slowness(slowLife, epoch))
}

// In a large fleet one router sends a prompt to the same engine every few minutes only, so the
// routers' measurements must add up.
func TestSumsOfRoutersAddUp(t *testing.T) {
	b := NewBook()
	b.SetOthers(map[upstream.Life]Sum{slowLife: {Expected: 4000, Seen: 8000}})
	require.InDelta(t, 1.8, b.Slowness(slowLife, epoch), 0.01)
	b.SetOthers(nil)
	require.Equal(t, 1.0, b.Slowness(slowLife, epoch))
}

func TestLongPromptsAreLearnedToTakeLongerForEachToken(t *testing.T) {
	b := NewBook()
	s := sample(usualLife, 1.5)
	s.Context = 40_000
	for i := range 200 {
		b.Observe(s, epoch.Add(time.Duration(i)*50*time.Millisecond))
		b.Observe(sample(usualLife, 1), epoch.Add(time.Duration(i)*50*time.Millisecond))
		b.Observe(sample(usualLife, 1), epoch.Add(time.Duration(i)*50*time.Millisecond))
	}
	require.Greater(t, b.Scale("llm", 40_000), 1.15)
	require.Equal(t, 1.0, b.Scale("llm", 4000))
	require.Equal(t, 1.0, b.Scale("other", 40_000))
}

// Whatever is observed or reported, the estimates stay within their bounds and are numbers.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "passed")))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				b.Observe(Sample{Service: "llm", Life: slowLife, Context: rapid.IntRange(0, 1<<20).Draw(t, "context"),
					Base: time.Duration(rapid.Int64Range(-1e9, 1e11).Draw(t, "base")), Queue: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "queue")),
					Seen: time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "seen"))}, now)
			case 1:
				b.SetOthers(map[upstream.Life]Sum{slowLife: {Expected: rapid.Float64().Draw(t, "expected"), Seen: rapid.Float64().Draw(t, "told")}})
			case 2:
				var p Pauses
				p.Ms[3], p.Count[3] = rapid.Float64().Draw(t, "ms"), rapid.Float64().Draw(t, "count")
				b.SetOthersPauses(map[string]Pauses{"llm": p})
			}
			slowness, scale := b.Slowness(slowLife, now), b.Scale("llm", 1<<20)
			if !(slowness >= minSlowness && slowness <= maxSlowness) || !(scale >= 1 && scale <= maxScale+1e-9) {
				t.Fatalf("slowness %v, scale %v", slowness, scale)
			}
			c := b.Curve("llm")
			if at := c.At(400 * time.Millisecond); at < 0 || at > 400*time.Millisecond {
				t.Fatalf("pause %v", at)
			}
		}
	})
}

// A pause is attributed to the long prompt that is prefilled beside the stream, not to a short one
// there at the same time.
func TestAPauseIsAttributedToTheLongestPrompt(t *testing.T) {
	b := NewBook()
	at := func(after time.Duration) time.Time { return epoch.Add(after) }
	long := b.Begin("llm", slowLife, 800*time.Millisecond, at(0))
	short := b.Begin("llm", slowLife, 150*time.Millisecond, at(0))
	early := b.Begin("llm", slowLife, 900*time.Millisecond, at(0))
	early.Read(at(10 * time.Millisecond))
	require.Nil(t, b.Begin("llm", slowLife, minPrefill-1, at(0)))

	b.Paused(slowLife, at(100*time.Millisecond), at(500*time.Millisecond))
	b.Paused(usualLife, at(0), at(time.Second))
	for _, r := range []*Reading{long, short, early} {
		r.Read(at(900 * time.Millisecond))
		r.End()
	}
	seen := b.OwnPauses()["llm"]
	require.Equal(t, 1.0, seen.Count[8])
	require.Equal(t, 400.0, seen.Ms[8])
	require.Zero(t, seen.Count[1]+seen.Count[9])
	require.Empty(t, b.prefills)
}
