package quarantine

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// tracker holds the state of a List. It has no lock and no clock of its own.
//
// Suspects and confirmed contents are kept apart: a crash with a large batch adds many innocent
// suspects, which would evict the confirmed contents from a common LRU list.
type tracker struct {
	config    Config
	suspects  *simplelru.LRU[uint64, *entry]
	confirmed *simplelru.LRU[uint64, *entry]
	// changes counts the changes of entries.
	changes *atomic.Uint64
	// lost are the upstreams that crashed lately, whatever they ran.
	lost lostUpstreams
	// history is nil if crashes count whatever was known before them.
	history *history
	// parts is what is known of parts where this is that of contents, and contents the reverse; nil for a
	// list that stands alone.
	parts, contents *tracker
	// known are the culprits among parts, and explained the crashes under them, as of
	// change culpritsOf and time culpritsAt.
	known      map[uint64]bool
	explained  *explanation
	culpritsAt time.Time
	culpritsOf uint64
}

func newTracker(c Config, changes *atomic.Uint64) *tracker {
	t := &tracker{config: c, changes: changes, lost: make(lostUpstreams), suspects: newLRU[*entry](c.MaxSuspects), confirmed: newLRU[*entry](c.MaxConfirmed)}
	if c.Moment > 0 {
		t.history = newHistory(c.MaxHistory)
	}
	return t
}

func newLRU[V any](size int) *simplelru.LRU[uint64, V] {
	lru, err := simplelru.NewLRU[uint64, V](size, nil)
	if err != nil {
		panic(err) // only for a size below 1, which withDefaults excludes
	}
	return lru
}

// recordCrash adds a crash, and reports whether it wasn't known.
func (t *tracker) recordCrash(now time.Time, content uint64, depth int, c crash) (wire.Suspicion, bool) {
	if content == 0 {
		return wire.Suspicion{}, false
	}
	e := t.lookupOrNew(now, content)
	e.depth = max(e.depth, depth)
	t.recall(e)
	if !e.add(c, t.config.CrashLimit) {
		return wire.Suspicion{}, false
	}
	t.lost.add(c.upstream, c.at)
	return t.put(now, e), true
}

// recordCompletion clears a suspect of the crashes that are known. A confirmed content isn't cleared,
// unless Config says so: it no longer runs, so the completion is that of a run that began before the
// last crash.
func (t *tracker) recordCompletion(now time.Time, content uint64) (wire.Suspicion, bool) {
	if !t.config.ClearConfirmed && t.crashCount(now, content) >= t.config.CrashLimit {
		return wire.Suspicion{}, false
	}
	t.remember(now, content)
	return t.clear(now, content)
}

// clear clears a suspect of the crashes that are known.
func (t *tracker) clear(now time.Time, content uint64) (wire.Suspicion, bool) {
	e, ok := t.lookup(now, content)
	if !ok || e.crashCount(now, t.config) == 0 {
		return wire.Suspicion{}, false
	}
	at := e.lastCrash().Add(sightingSpread) // other routers may have seen the same crash later
	if at.After(now) {
		at = now
	}
	e.markSound(at)
	return t.put(now, e), true
}

// merge merges a suspicion of another router, and reports whether it brought news.
func (t *tracker) merge(now time.Time, s wire.Suspicion) bool {
	if s.Content == 0 || s.Sound <= 0 && len(s.Crashes) == 0 {
		return false
	}
	e := t.lookupOrNew(now, s.Content)
	e.depth = max(e.depth, min(s.Depth, maxDepth))
	news := t.recall(e)
	if s.Sound > 0 && !e.isKnownSound(ago(now, s.Sound-1)) {
		news = e.markSound(ago(now, s.Sound-1)) || news
	}
	for _, c := range s.Crashes[:min(len(s.Crashes), maxCrashes*t.config.CrashLimit)] {
		if c.AgeMs >= 2*t.config.Duration.Milliseconds() {
			continue
		}
		t.lost.add(c.Upstream, ago(now, c.AgeMs))
		news = e.add(crash{upstream: c.Upstream, at: ago(now, c.AgeMs), alone: c.Alone}, t.config.CrashLimit) || news
	}
	if news {
		t.put(now, e)
	}
	return news
}

// remember keeps when a content was sound. It has a lock of its own.
func (t *tracker) remember(now time.Time, content uint64) {
	if t.history != nil {
		t.history.add(content, now)
	}
}

// recall takes over when a content was sound before it was suspected, and reports whether that is news.
func (t *tracker) recall(e *entry) bool {
	return t.history != nil && e.markSound(t.history.soundAt(e.content))
}

// maxDepth bounds the depth of parts that peers report.
const maxDepth = 1 << 16

// ago returns the time that lies ms milliseconds before now.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(0, ms)) * time.Millisecond)
}

// put stores an entry that has changed.
func (t *tracker) put(now time.Time, e *entry) wire.Suspicion {
	t.suspects.Remove(e.content)
	t.confirmed.Remove(e.content)
	e.change(t.changes.Add(1))
	lru := t.suspects
	if e.total(t.config.CrashLimit) >= t.config.CrashLimit {
		lru = t.confirmed
	}
	lru.Add(e.content, e)
	return t.encode(now, e, 0)
}

func (t *tracker) crashCount(now time.Time, content uint64) int {
	e, ok := t.lookup(now, content)
	if !ok {
		return 0
	}
	return t.countOf(now, e)
}

// countOf returns the number of crashes that count against an entry: fewer than the limit if something else
// that is refused explains them.
func (t *tracker) countOf(now time.Time, e *entry) int {
	n, limit := t.countAlone(now, e), t.config.CrashLimit
	if n < limit {
		return n
	}
	if t.config.Parts && !t.culprits(now)[e.content] {
		return limit - 1
	}
	if t.parts != nil && len(e.without(t.parts.explainedCrashes(now))) < limit {
		return limit - 1
	}
	return n
}

// countAlone returns the number of crashes of an entry, whatever else is refused: fewer than the limit if its
// upstreams were lost together with others that didn't run its content.
func (t *tracker) countAlone(now time.Time, e *entry) int {
	n := e.crashCount(now, t.config)
	if n < t.config.CrashLimit {
		return n
	}
	if t.wasSound(e) {
		return t.config.CrashLimit - 1
	}
	if e.span() >= t.config.MinSpan {
		return n
	}
	together := t.lost.between(e.crashes[0].at.Add(-t.config.MinSpan), e.lastCrash().Add(t.config.MinSpan))
	if float64(len(e.crashes)) < culpritShare*float64(together) {
		return t.config.CrashLimit - 1
	}
	return n
}

// wasSound reports whether an entry was sound before its crashes, and those came in fewer moments than the limit.
func (t *tracker) wasSound(e *entry) bool {
	return t.history != nil && !e.soundAt.IsZero() && e.moments(t.config.Moment, t.config.CrashLimit) < t.config.CrashLimit
}

// culpritShare is the least share of the upstreams lost together on which a content must have run to be
// taken for the cause.
const culpritShare = 0.75

// remaining returns for how long a confirmed content is still refused.
func (t *tracker) remaining(now time.Time, content uint64) time.Duration {
	e, ok := t.lookup(now, content)
	if !ok || len(e.crashes) == 0 {
		return 0
	}
	return max(0, t.config.Duration-now.Sub(e.lastCrash()))
}

func (t *tracker) lookup(now time.Time, content uint64) (*entry, bool) {
	for _, lru := range []*simplelru.LRU[uint64, *entry]{t.confirmed, t.suspects} {
		e, ok := lru.Get(content)
		if !ok {
			continue
		}
		if e.expired(now, t.config) {
			lru.Remove(content)
			continue
		}
		return e, true
	}
	return nil, false
}

func (t *tracker) lookupOrNew(now time.Time, content uint64) *entry {
	if e, ok := t.lookup(now, content); ok {
		return e
	}
	return &entry{content: content}
}

// entries returns all entries that haven't expired.
func (t *tracker) entries(now time.Time) []*entry {
	return slices.DeleteFunc(append(t.confirmed.Values(), t.suspects.Values()...), func(e *entry) bool { return e.expired(now, t.config) })
}

// encode returns an entry for a peer that has the crashes up to a change.
func (t *tracker) encode(now time.Time, e *entry, after uint64) wire.Suspicion {
	s := e.encode(now, after, t.config.CrashLimit)
	s.Part, s.Depth = t.config.Parts, e.depth
	return s
}

func (t *tracker) snapshot(now time.Time) []wire.Suspicion {
	var all []wire.Suspicion
	for _, e := range t.entries(now) {
		all = append(all, t.encode(now, e, 0))
	}
	return all
}

func (t *tracker) count(now time.Time) (suspected, confirmed int) {
	for _, e := range t.entries(now) {
		switch crashes := t.countOf(now, e); {
		case crashes >= t.config.CrashLimit:
			confirmed++
		case crashes > 0:
			suspected++
		}
	}
	return suspected, confirmed
}
