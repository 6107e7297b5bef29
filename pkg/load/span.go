package load

import (
	"slices"
	"time"
)

// Span is a stretch of time from From up to To.
type Span struct{ From, To time.Time }

// clip returns the part of s inside bounds; it may be empty.
func (s Span) clip(bounds Span) Span {
	if s.From.Before(bounds.From) {
		s.From = bounds.From
	}
	if s.To.After(bounds.To) {
		s.To = bounds.To
	}
	return s
}

func (s Span) empty() bool { return !s.From.Before(s.To) }

func (s Span) length() time.Duration {
	if s.empty() {
		return 0
	}
	return s.To.Sub(s.From)
}

// union merges spans into sorted ones that don't touch.
func union(spans []Span) []Span {
	sorted := slices.Clone(spans)
	slices.SortFunc(sorted, func(a, b Span) int { return a.From.Compare(b.From) })
	var merged []Span
	for _, s := range sorted {
		last := len(merged) - 1
		switch {
		case s.empty():
		case last >= 0 && !s.From.After(merged[last].To):
			merged[last].To = later(merged[last].To, s.To)
		default:
			merged = append(merged, s)
		}
	}
	return merged
}

// covered reports whether one of the merged spans holds all of s.
func covered(merged []Span, s Span) bool {
	i, _ := slices.BinarySearchFunc(merged, s.To, func(m Span, t time.Time) int { return m.To.Compare(t) })
	return i < len(merged) && !s.From.Before(merged[i].From)
}

// overlap returns how much of s the merged spans hold.
func overlap(merged []Span, s Span) time.Duration {
	i, _ := slices.BinarySearchFunc(merged, s.From, func(m Span, t time.Time) int { return m.To.Compare(t) })
	var total time.Duration
	for ; i < len(merged) && merged[i].From.Before(s.To); i++ {
		total += s.clip(merged[i]).length()
	}
	return total
}

func totalLength(merged []Span) time.Duration {
	var total time.Duration
	for _, s := range merged {
		total += s.length()
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
