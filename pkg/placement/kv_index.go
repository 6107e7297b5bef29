package placement

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Times and sizes of a KVIndex.
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

// CachedPrefix says that an engine has prefilled a prefix in one of its lives.
type CachedPrefix struct {
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

// CachedTokens is the number of a prompt's tokens in the cache of an engine in one of its lives.
type CachedTokens struct {
	// Sent is the number of tokens that were sent there: they are cached, or will be by the time
	// that a prompt sent now is prefilled.
	Sent int
	// Confirmed is the number of tokens that are prefilled, so that another engine can fetch them.
	Confirmed int
}

// KVIndex is an index of the prompt prefixes that engines have in their caches. Each life of an
// engine has its own entries, so that a late report about an earlier life has no effect on the
// present one.
type KVIndex struct {
	mu         sync.Mutex
	byKey      map[uint64]map[upstream.Life]*entry
	unreported []CachedPrefix
}

// NewKVIndex returns an empty index.
func NewKVIndex() *KVIndex { return &KVIndex{byKey: make(map[uint64]map[upstream.Life]*entry)} }

// RecordUse records that an engine is sent all of prefixes.
func (x *KVIndex) RecordUse(life upstream.Life, prefixes []Prefix, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, prefix := range prefixes {
		e := x.entry(prefix.Key, life, now)
		e.lastUsed = now
		if now.Sub(e.lastReported) < reportInterval {
			continue
		}
		e.lastReported = now
		x.unreported = append(x.unreported, CachedPrefix{Key: prefix.Key, Life: life})
	}
}

// Confirm records that an engine has prefilled all of prefixes.
func (x *KVIndex) Confirm(life upstream.Life, prefixes []Prefix) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, prefix := range prefixes {
		if e := x.byKey[prefix.Key][life]; e != nil {
			e.confirmed = true
		}
	}
}

// Merge adds prefixes that another router reported.
func (x *KVIndex) Merge(list []CachedPrefix, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, reported := range list {
		e := x.entry(reported.Key, reported.Life, now)
		e.lastUsed, e.lastReported = now, now
	}
}

func (x *KVIndex) entry(key uint64, life upstream.Life, now time.Time) *entry {
	byLife := x.byKey[key]
	if byLife == nil {
		if len(x.byKey) >= maxPrefixes {
			clear(x.byKey) // bounds the memory; prefixes in use are added again at their next use
		}
		byLife = make(map[upstream.Life]*entry, 2)
		x.byKey[key] = byLife
	}
	e := byLife[life]
	if e == nil {
		e = &entry{sent: now}
		byLife[life] = e
	}
	return e
}

// TakeUnreported returns the prefixes recorded since the last call.
func (x *KVIndex) TakeUnreported() []CachedPrefix {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.unreported
	x.unreported = nil
	return list
}

// Lookup returns the cached tokens of a prompt, by the lives of engines that have one of its
// prefixes cached; nil when none has.
func (x *KVIndex) Lookup(prefixes []Prefix, now time.Time) map[upstream.Life]CachedTokens {
	if len(prefixes) == 0 {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var cached map[upstream.Life]CachedTokens
	for _, prefix := range prefixes {
		for life, e := range x.byKey[prefix.Key] {
			if now.Sub(e.lastUsed) >= prefixTTL {
				continue
			}
			if cached == nil {
				cached = make(map[upstream.Life]CachedTokens)
			}
			tokens := CachedTokens{Sent: prefix.Tokens, Confirmed: cached[life].Confirmed}
			if e.ready(now) {
				tokens.Confirmed = prefix.Tokens
			}
			cached[life] = tokens
		}
	}
	return cached
}

// Prune removes expired entries.
func (x *KVIndex) Prune(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for key, byLife := range x.byKey {
		for life, e := range byLife {
			if now.Sub(e.lastUsed) >= prefixTTL {
				delete(byLife, life)
			}
		}
		if len(byLife) == 0 {
			delete(x.byKey, key)
		}
	}
}
