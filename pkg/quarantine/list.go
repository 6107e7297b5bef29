// Package quarantine tracks what was running on an upstream when it crashed, so that one request, or one part
// that the prompts of many have in common, can't take down a whole pool.
//
// The hash of a whole request is its content. A content that was running during a crash becomes a suspect. A
// suspect that completes is cleared of the crashes so far. One under which too many upstreams crash is
// confirmed, and refused until the suspicion expires. Routers exchange the crashes themselves, as
// wire.Suspicion, and not their number: the union of two sets counts each crash once, whoever saw it
// and in whichever order news arrive.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// List is what one router knows about suspect contents, or about suspect parts. It is safe for concurrent use.
type List struct {
	// mu is shared by the lists of a Book.
	mu      *sync.Mutex
	tracker *tracker
	// used says that there was ever a suspicion. lastCrash is when the last new crash came, in
	// nanoseconds since created.
	used      atomic.Bool
	lastCrash atomic.Int64
	created   time.Time
}

// New returns an empty List.
func New(c Config) *List { return newList(c, new(sync.Mutex), new(atomic.Uint64)) }

// newList returns an empty List with a lock, whose changes are numbered by changes.
func newList(c Config, mu *sync.Mutex, changes *atomic.Uint64) *List {
	return &List{mu: mu, tracker: newTracker(c.withDefaults(), changes), created: time.Now()}
}

// Empty reports whether there never was a suspicion, without the lock that every request would wait for.
func (l *List) Empty() bool { return !l.used.Load() }

// CrashedWithin reports whether a crash became known within the last d.
func (l *List) CrashedWithin(d time.Duration) bool {
	return !l.Empty() && time.Since(l.created)-time.Duration(l.lastCrash.Load()) < d
}

// RecordCrash records that an upstream crashed while content ran on it. upstream identifies the life that
// ended, alone says that nothing else ran there. If the crash wasn't known, the suspicion is returned to
// be sent to the other routers.
func (l *List) RecordCrash(content uint64, upstream uint32, alone bool) (wire.Suspicion, bool) {
	return l.record(content, 0, upstream, alone, time.Now())
}

// record adds a crash that happened at a time before now.
func (l *List) record(content uint64, depth int, upstream uint32, alone bool, at time.Time) (wire.Suspicion, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(time.Now(), content, depth, crash{upstream: upstream, at: at, alone: alone})
}

func (l *List) add(now time.Time, content uint64, depth int, c crash) (wire.Suspicion, bool) {
	l.used.Store(true)
	s, ok := l.tracker.recordCrash(now, content, depth, c)
	if ok {
		l.lastCrash.Store(int64(now.Sub(l.created)))
	}
	return s, ok
}

// RecordCompletion records that content ran to its end. If that changes the suspicion, it is returned to
// be sent to the other routers.
func (l *List) RecordCompletion(content uint64) (wire.Suspicion, bool) {
	now := time.Now()
	if l.Empty() {
		l.tracker.remember(now, content)
		return wire.Suspicion{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.recordCompletion(now, content)
}

// Refused reports whether content is refused, and for how long.
func (l *List) Refused(content uint64) (remaining time.Duration, refused bool) {
	if l.Empty() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.tracker.crashCount(now, content) < l.tracker.config.CrashLimit {
		return 0, false
	}
	return l.tracker.remaining(now, content), true
}

// CrashCount returns the number of crashes that content is suspected of: 0 if it isn't a suspect, 1 or
// more if it must run alone, the limit or more if it is refused.
func (l *List) CrashCount(content uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.crashCount(time.Now(), content)
}

// Check returns a *verdict.Error with the verdict NotRun if content is refused.
func (l *List) Check(content uint64) error {
	remaining, refused := l.Refused(content)
	if !refused {
		return nil
	}
	return verdict.New(verdict.NotRun, 422, verdict.CodeQuarantined,
		"upstreams crashed while they ran this request; it is refused for a time").WithRetryAfter(remaining)
}

// Merge adds suspicions from a peer and returns those that were new, to be passed on.
func (l *List) Merge(suspicions []wire.Suspicion) []wire.Suspicion {
	if len(suspicions) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used.Store(true)
	now := time.Now()
	var accepted []wire.Suspicion
	for _, s := range suspicions {
		if l.tracker.merge(now, s) {
			accepted = append(accepted, s)
			l.lastCrash.Store(int64(now.Sub(l.created)))
		}
	}
	return accepted
}

// Snapshot returns all suspicions that still hold, for a peer that has just joined.
func (l *List) Snapshot() []wire.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.snapshot(time.Now())
}

// Count returns how many contents must run alone and how many are refused.
func (l *List) Count() (suspected, confirmed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.count(time.Now())
}
