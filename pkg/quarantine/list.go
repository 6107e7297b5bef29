// Package quarantine remembers the contents of requests that ran on an upstream
// when it died, so that one request can't take the whole pool down.
//
// A content that was running during a death is a suspect and from then on runs
// alone on its upstream. A suspect that ends alone is cleared; one whose upstream
// dies again is confirmed and refused until the suspicion fades. Routers pass
// their findings on as wire.Suspicion.
package quarantine

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// List is one router's knowledge. Its methods may be called concurrently.
type List struct {
	mu     sync.Mutex
	ledger *ledger
}

// New returns an empty list.
func New(c Config) *List { return &List{ledger: newLedger(c.withDefaults())} }

// Died records that an upstream died while content ran on it; alone says that
// nothing else ran there. The result is news for the other routers, if any.
func (l *List) Died(content uint64, alone bool) (wire.Suspicion, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.died(time.Now(), content, alone)
}

// EndedAlone records that content ran alone to its end. The result is news for the
// other routers, if any.
func (l *List) EndedAlone(content uint64) (wire.Suspicion, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.endedAlone(time.Now(), content)
}

// Deaths returns how many deaths content is suspected of now: 0 for an innocent,
// 1 or more for a suspect that must run alone, the limit or more for a refused one.
func (l *List) Deaths(content uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.deaths(time.Now(), content)
}

// Check returns a *verdict.Error with NotRun when content is refused.
func (l *List) Check(content uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.ledger.deaths(now, content) < l.ledger.config.Limit {
		return nil
	}
	return verdict.New(verdict.NotRun, 422, verdict.CodeQuarantined,
		"upstreams died while they ran this request; it is refused for a time").
		After(l.ledger.untilFaded(now, content))
}

// Merge takes in news from a peer and returns what was new here, to be passed on.
func (l *List) Merge(news []wire.Suspicion) []wire.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var fresh []wire.Suspicion
	for _, s := range news {
		if l.ledger.merge(now, s) {
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// Snapshot returns all that still holds, for a peer that has just joined.
func (l *List) Snapshot() []wire.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.snapshot(time.Now())
}

// Count returns how many contents must run alone now and how many are refused.
func (l *List) Count() (suspected, confirmed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.count(time.Now())
}
