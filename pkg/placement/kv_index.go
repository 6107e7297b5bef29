package placement

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Times and sizes of Holdings.
const (
	// prefixTTL is how long an engine is assumed to keep a prefix in its cache after the last use.
	// The prefixes in use fit the engines' caches several times over; unused ones are evicted
	// first.
	prefixTTL = 45 * time.Second
	// reportInterval is the time after which a use is reported to other routers again.
	reportInterval = prefixTTL / 3
	// maxPrefixes bounds the number of prefixes in the index.
	maxPrefixes = 50_000
)

// Holding says that an engine has prefilled a prefix in one of its lives.
type Holding struct {
	Key  uint64
	Life upstream.Life
}

// entry is a prefix in the cache of one life of an engine.
type entry struct {
	// sent is when the prefix was first sent to the engine, lastUsed when it was last used.
	sent         time.Time
	lastUsed     time.Time
	lastReported time.Time
	// confirmed is whether the engine is known to have prefilled it.
	confirmed bool
}

// confirmDelay is the time after which a prefix that was sent to an engine is assumed to be
// prefilled, by routers that don't see the first event.
const confirmDelay = time.Second

// ready reports whether other engines can fetch the prefix.
func (e *entry) ready(now time.Time) bool { return e.confirmed || now.Sub(e.sent) >= confirmDelay }

// Kept is the number of a prompt's tokens in the cache of an engine in one of its lives.
type Kept struct {
	// Sent is the number of tokens that were sent there: they are cached, or will be by the time
	// that a prompt sent now is prefilled.
	Sent int
	// Settled is the number of tokens that are prefilled, so that another engine can fetch them.
	Settled int
}

// Holdings is an index of the prompt prefixes that engines have in their caches. Each life of an
// engine has its own entries, so that a late report about an earlier life has no effect on the
// present one.
type Holdings struct {
	mu         sync.Mutex
	byKey      map[uint64]map[upstream.Life]*entry
	unreported []Holding
}

// NewHoldings returns an empty index.
func NewHoldings() *Holdings { return &Holdings{byKey: make(map[uint64]map[upstream.Life]*entry)} }

// Use records that an engine is sent all of prefixes.
func (h *Holdings) Use(life upstream.Life, prefixes []Link, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, prefix := range prefixes {
		e := h.entry(prefix.Key, life, now)
		e.lastUsed = now
		if now.Sub(e.lastReported) < reportInterval {
			continue
		}
		e.lastReported = now
		h.unreported = append(h.unreported, Holding{Key: prefix.Key, Life: life})
	}
}

// Settle records that an engine has prefilled all of prefixes.
func (h *Holdings) Settle(life upstream.Life, prefixes []Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, prefix := range prefixes {
		if e := h.byKey[prefix.Key][life]; e != nil {
			e.confirmed = true
		}
	}
}

// Learn adds prefixes that another router reported.
func (h *Holdings) Learn(list []Holding, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, reported := range list {
		e := h.entry(reported.Key, reported.Life, now)
		e.lastUsed, e.lastReported = now, now
	}
}

func (h *Holdings) entry(key uint64, life upstream.Life, now time.Time) *entry {
	byLife := h.byKey[key]
	if byLife == nil {
		if len(h.byKey) >= maxPrefixes {
			clear(h.byKey) // bounds the memory; prefixes in use are added again at their next use
		}
		byLife = make(map[upstream.Life]*entry, 2)
		h.byKey[key] = byLife
	}
	e := byLife[life]
	if e == nil {
		e = &entry{sent: now}
		byLife[life] = e
	}
	return e
}

// Untold returns the prefixes recorded since the last call.
func (h *Holdings) Untold() []Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.unreported
	h.unreported = nil
	return list
}

// Kept returns the cached tokens of a prompt, by the lives of engines that have one of its prefixes
// cached; nil when none has.
func (h *Holdings) Kept(prefixes []Link, now time.Time) map[upstream.Life]Kept {
	if len(prefixes) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var cached map[upstream.Life]Kept
	for _, prefix := range prefixes {
		for life, e := range h.byKey[prefix.Key] {
			if now.Sub(e.lastUsed) >= prefixTTL {
				continue
			}
			if cached == nil {
				cached = make(map[upstream.Life]Kept)
			}
			tokens := Kept{Sent: prefix.Tokens, Settled: cached[life].Settled}
			if e.ready(now) {
				tokens.Settled = prefix.Tokens
			}
			cached[life] = tokens
		}
	}
	return cached
}

// Prune removes expired entries.
func (h *Holdings) Prune(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, byLife := range h.byKey {
		for life, e := range byLife {
			if now.Sub(e.lastUsed) >= prefixTTL {
				delete(byLife, life)
			}
		}
		if len(byLife) == 0 {
			delete(h.byKey, key)
		}
	}
}
