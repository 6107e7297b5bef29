package load

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

const gridMillis = 60

func millis(n int) time.Time { return time.UnixMilli(int64(n)) }

func drawSpan(t *rapid.T, name string) Span {
	from := rapid.IntRange(0, gridMillis).Draw(t, name+" from")
	return Span{millis(from), millis(from + rapid.IntRange(0, 20).Draw(t, name+" length"))}
}

func holds(s Span, from int) bool {
	return !millis(from).Before(s.From) && millis(from).Before(s.To)
}

// bruteUtilisation counts slot by slot on a grid of milliseconds.
func bruteUtilisation(attempts []Attempt, waiting []Span, window Span, slots int) float64 {
	busy, available := 0, 0
	for ms := range 2 * gridMillis {
		contested := false
		for _, w := range waiting {
			contested = contested || (holds(w, ms) && holds(window, ms))
		}
		if !contested {
			continue
		}
		available += slots
		for _, a := range attempts {
			if holds(runSpan(a, window), ms) {
				busy++
			}
		}
	}
	if available == 0 {
		return 1
	}
	return float64(busy) / float64(available)
}

func TestUtilisationCountsBusySlotsWhileAnythingWaits(t *testing.T) {
	engines := []devfleet.UpstreamInfo{
		{Name: "e1", Kind: devfleet.Engine, Slots: 3}, {Name: "e2", Kind: devfleet.Engine, Slots: 5},
		{Name: "s1", Kind: devfleet.PlainService, Slots: 100},
	}
	rapid.Check(t, func(t *rapid.T) {
		window := Span{millis(5), millis(rapid.IntRange(6, gridMillis).Draw(t, "end"))}
		var spans []Span
		waiting := make(map[string][]Span)
		for i := range rapid.IntRange(0, 8).Draw(t, "waits") {
			s := drawSpan(t, "wait")
			spans = append(spans, s)
			org := orgName(i % 3)
			waiting[org] = union(append(waiting[org], s))
		}
		var attempts []Attempt
		for range rapid.IntRange(0, 12).Draw(t, "attempts") {
			s := drawSpan(t, "run")
			a := Attempt{Upstream: rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "engine"), Started: s.From, Ended: s.To}
			if rapid.IntRange(0, 5).Draw(t, "still runs") == 0 {
				a.Ended = time.Time{}
			}
			attempts = append(attempts, a)
		}
		got := utilisation(attempts, engines, waiting, window)
		if want := bruteUtilisation(attempts, spans, window, 8); math.Abs(got-want) > 1e-9 {
			t.Fatalf("utilisation %v, brute force %v", got, want)
		}
	})
}

func TestCoveredNeedsOneStretchWithoutAHole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var spans []Span
		for range rapid.IntRange(0, 8).Draw(t, "spans") {
			spans = append(spans, drawSpan(t, "span"))
		}
		from := rapid.IntRange(0, gridMillis).Draw(t, "from")
		length := rapid.IntRange(1, 15).Draw(t, "length")
		want := true
		for ms := from; ms < from+length; ms++ {
			held := false
			for _, s := range spans {
				held = held || holds(s, ms)
			}
			want = want && held
		}
		if got := covered(union(spans), Span{millis(from), millis(from + length)}); got != want {
			t.Fatalf("covered %v, brute force %v", got, want)
		}
	})
}
