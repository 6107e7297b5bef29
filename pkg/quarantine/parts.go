package quarantine

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// RecordPartCrashes records that an upstream crashed while it ran a prompt with these shared parts, in their
// order. If one of them is refused already, it explains the crash, which doesn't count against the others.
// It returns the suspicions that changed.
func (l *List) RecordPartCrashes(parts []uint64, upstream uint32) []wire.Suspicion {
	return l.recordParts(parts, upstream, time.Now())
}

func (l *List) recordParts(parts []uint64, upstream uint32, at time.Time) []wire.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	known := l.tracker.refusedAmong(now, parts)
	var news []wire.Suspicion
	for depth, part := range parts {
		if len(known) > 0 && !slices.Contains(known, part) {
			continue
		}
		if s, ok := l.add(now, part, depth, crash{upstream: upstream, at: at, alone: true}); ok {
			news = append(news, s)
		}
	}
	return news
}

// RecordPartCompletions records that a prompt with these shared parts ran to its end. It returns the suspicions
// that changed.
func (l *List) RecordPartCompletions(parts []uint64) []wire.Suspicion {
	if len(parts) == 0 {
		return nil
	}
	now := time.Now()
	if l.Empty() {
		l.tracker.rememberAll(now, parts)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.rememberAll(now, parts)
	var news []wire.Suspicion
	for _, part := range parts {
		if s, ok := l.tracker.clear(now, part); ok {
			news = append(news, s)
		}
	}
	return news
}

// RefusedPart returns the first of these parts that is refused, and for how long.
func (l *List) RefusedPart(parts []uint64) (part uint64, remaining time.Duration, refused bool) {
	if l.Empty() || len(parts) == 0 {
		return 0, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	list := l.tracker.refusedAmong(now, parts)
	if len(list) == 0 {
		return 0, 0, false
	}
	return list[0], l.tracker.remaining(now, list[0]), true
}

// refusedAmong returns those of these parts that are refused. Few are, so that a long prompt costs little.
func (t *tracker) refusedAmong(now time.Time, parts []uint64) []uint64 {
	culprits := t.culprits(now)
	if len(culprits) == 0 {
		return nil
	}
	var list []uint64
	for _, part := range parts {
		if culprits[part] && t.crashCount(now, part) >= t.config.CrashLimit {
			list = append(list, part)
		}
	}
	return list
}

// rememberAll keeps that the parts of a prompt were sound. The first ones, which most prompts share, are kept
// longest.
func (t *tracker) rememberAll(now time.Time, parts []uint64) {
	if t.history != nil {
		t.history.addAll(slices.Backward(parts), now)
	}
}
