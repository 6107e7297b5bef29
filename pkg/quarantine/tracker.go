package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// ledger is the decision code: no lock, no clock of its own.
//
// Suspects and confirmed contents have a store each: a death with a large batch
// brings many innocents, and in one store they would displace the confirmed ones.
type ledger struct {
	config    Config
	suspects  *simplelru.LRU[uint64, entry]
	confirmed *simplelru.LRU[uint64, entry]
}

func newLedger(c Config) *ledger {
	return &ledger{config: c, suspects: newStore(c.MaxSuspects), confirmed: newStore(c.MaxConfirmed)}
}

func newStore(size int) *simplelru.LRU[uint64, entry] {
	store, err := simplelru.NewLRU[uint64, entry](size, nil)
	if err != nil {
		panic(err) // only for a size below 1, which withDefaults excludes
	}
	return store
}

// died counts one death. A death in company counts only up to the limit less one:
// several routers see the same death, and a zone that loses power kills many
// upstreams at once, each with a copy of some popular content. Both would confirm
// an innocent; only the death of a suspect that ran alone does.
func (l *ledger) died(now time.Time, content uint64, alone bool) (wire.Suspicion, bool) {
	if content == 0 {
		return wire.Suspicion{}, false
	}
	old, _ := l.find(now, content)
	held := l.deaths(now, content)
	deaths := held + 1
	if !alone {
		deaths = max(held, min(deaths, l.config.Limit-1))
	}
	if deaths == held {
		return wire.Suspicion{}, false
	}
	return l.publish(now, wire.Suspicion{Content: content, Deaths: uint32(deaths), Seq: old.news.Seq + 1}), true
}

// endedAlone clears a suspect. A confirmed content stays: it no longer runs, so an
// end reported now belongs to a run that began before the last death.
func (l *ledger) endedAlone(now time.Time, content uint64) (wire.Suspicion, bool) {
	held := l.deaths(now, content)
	if held == 0 || held >= l.config.Limit {
		return wire.Suspicion{}, false
	}
	old, _ := l.find(now, content)
	return l.publish(now, wire.Suspicion{Content: content, Cleared: true, Seq: old.news.Seq + 1}), true
}

func (l *ledger) merge(now time.Time, s wire.Suspicion) bool {
	if s.Content == 0 {
		return false
	}
	if old, ok := l.find(now, s.Content); ok && !newer(s, old.news) {
		return false
	}
	l.publish(now, s)
	return true
}

func (l *ledger) publish(now time.Time, s wire.Suspicion) wire.Suspicion {
	l.suspects.Remove(s.Content)
	l.confirmed.Remove(s.Content)
	l.storeFor(s).Add(s.Content, entry{news: s, at: now})
	return s
}

func (l *ledger) storeFor(s wire.Suspicion) *simplelru.LRU[uint64, entry] {
	if int(s.Deaths) >= l.config.Limit {
		return l.confirmed
	}
	return l.suspects
}

func (l *ledger) deaths(now time.Time, content uint64) int {
	e, ok := l.find(now, content)
	if !ok {
		return 0
	}
	return e.deaths(now, l.config)
}

func (l *ledger) untilFaded(now time.Time, content uint64) time.Duration {
	e, ok := l.find(now, content)
	if !ok {
		return 0
	}
	return max(0, l.config.FadeAfter-now.Sub(e.at))
}

func (l *ledger) find(now time.Time, content uint64) (entry, bool) {
	for _, store := range []*simplelru.LRU[uint64, entry]{l.confirmed, l.suspects} {
		e, ok := store.Get(content)
		if !ok {
			continue
		}
		if e.forgotten(now, l.config) {
			store.Remove(content)
			continue
		}
		return e, true
	}
	return entry{}, false
}

func (l *ledger) snapshot(now time.Time) []wire.Suspicion {
	var all []wire.Suspicion
	for _, e := range append(l.confirmed.Values(), l.suspects.Values()...) {
		if now.Sub(e.at) < l.config.FadeAfter {
			all = append(all, e.news)
		}
	}
	return all
}

func (l *ledger) count(now time.Time) (suspected, confirmed int) {
	for _, e := range append(l.confirmed.Values(), l.suspects.Values()...) {
		switch deaths := e.deaths(now, l.config); {
		case deaths >= l.config.Limit:
			confirmed++
		case deaths > 0:
			suspected++
		}
	}
	return suspected, confirmed
}
