package quarantine

import (
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
	suspects  *simplelru.LRU[uint64, entry]
	confirmed *simplelru.LRU[uint64, entry]
}

func newTracker(c Config) *tracker {
	return &tracker{config: c, suspects: newLRU(c.MaxSuspects), confirmed: newLRU(c.MaxConfirmed)}
}

func newLRU(size int) *simplelru.LRU[uint64, entry] {
	lru, err := simplelru.NewLRU[uint64, entry](size, nil)
	if err != nil {
		panic(err) // only for a size below 1, which withDefaults excludes
	}
	return lru
}

// recordCrash counts one crash. A crash while other requests ran counts only up to one below the
// limit: several routers see the same crash, and a zone that loses power takes down many upstreams
// at once, each of which may run the same popular content. Either would confirm an innocent
// content, so only the crash of a suspect that ran alone confirms it.
func (t *tracker) recordCrash(now time.Time, content uint64, alone bool) (wire.Suspicion, bool) {
	if content == 0 {
		return wire.Suspicion{}, false
	}
	old, _ := t.lookup(now, content)
	current := t.crashCount(now, content)
	crashes := current + 1
	if !alone {
		crashes = max(current, min(crashes, t.config.CrashLimit-1))
	}
	if crashes == current {
		return wire.Suspicion{}, false
	}
	return t.put(now, wire.Suspicion{Content: content, Deaths: uint32(crashes), Seq: old.suspicion.Seq + 1}), true
}

// recordSoloCompletion clears a suspect. A confirmed content isn't cleared: it no longer runs, so
// the completion is that of a run that began before the last crash.
func (t *tracker) recordSoloCompletion(now time.Time, content uint64) (wire.Suspicion, bool) {
	current := t.crashCount(now, content)
	if current == 0 || current >= t.config.CrashLimit {
		return wire.Suspicion{}, false
	}
	old, _ := t.lookup(now, content)
	return t.put(now, wire.Suspicion{Content: content, Cleared: true, Seq: old.suspicion.Seq + 1}), true
}

func (t *tracker) merge(now time.Time, s wire.Suspicion) bool {
	if s.Content == 0 {
		return false
	}
	if old, ok := t.lookup(now, s.Content); ok && !supersedes(s, old.suspicion) {
		return false
	}
	t.put(now, s)
	return true
}

func (t *tracker) put(now time.Time, s wire.Suspicion) wire.Suspicion {
	t.suspects.Remove(s.Content)
	t.confirmed.Remove(s.Content)
	t.lruFor(s).Add(s.Content, entry{suspicion: s, receivedAt: now})
	return s
}

func (t *tracker) lruFor(s wire.Suspicion) *simplelru.LRU[uint64, entry] {
	if int(s.Deaths) >= t.config.CrashLimit {
		return t.confirmed
	}
	return t.suspects
}

func (t *tracker) crashCount(now time.Time, content uint64) int {
	e, ok := t.lookup(now, content)
	if !ok {
		return 0
	}
	return e.crashCount(now, t.config)
}

func (t *tracker) remaining(now time.Time, content uint64) time.Duration {
	e, ok := t.lookup(now, content)
	if !ok {
		return 0
	}
	return max(0, t.config.Duration-now.Sub(e.receivedAt))
}

func (t *tracker) lookup(now time.Time, content uint64) (entry, bool) {
	for _, lru := range []*simplelru.LRU[uint64, entry]{t.confirmed, t.suspects} {
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
	return entry{}, false
}

func (t *tracker) snapshot(now time.Time) []wire.Suspicion {
	var all []wire.Suspicion
	for _, e := range append(t.confirmed.Values(), t.suspects.Values()...) {
		if now.Sub(e.receivedAt) < t.config.Duration {
			all = append(all, e.suspicion)
		}
	}
	return all
}

func (t *tracker) count(now time.Time) (suspected, confirmed int) {
	for _, e := range append(t.confirmed.Values(), t.suspects.Values()...) {
		switch crashes := e.crashCount(now, t.config); {
		case crashes >= t.config.CrashLimit:
			confirmed++
		case crashes > 0:
			suspected++
		}
	}
	return suspected, confirmed
}
