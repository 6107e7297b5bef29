package placement

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Times of Holdings.
const (
	// holdingLife is how long an engine is taken to keep a part after its last use. The
	// parts in use fit the engines' memory several times over; those that nobody asks for
	// yield first.
	holdingLife = 45 * time.Second
	// retellAfter is the age at which a use is told to other routers again.
	retellAfter = holdingLife / 3
	// maxLinks bounds the links that are remembered.
	maxLinks = 50_000
)

// Holding says that an engine has read a link in one of its lives.
type Holding struct {
	Key  uint64
	Life upstream.Life
}

type held struct {
	// first is when it was first sent there, used the last time.
	first time.Time
	used  time.Time
	told  time.Time
	// settled is whether it was read for sure.
	settled bool
}

// settleAfter is the time after which a part that was sent to an engine is taken to be read,
// by those who don't see its first event.
const settleAfter = time.Second

func (e *held) readBy(now time.Time) bool { return e.settled || now.Sub(e.first) >= settleAfter }

// Kept is what a life of an engine keeps of a prompt, in tokens.
type Kept struct {
	// Sent was sent there: it is kept, or will be when a prompt sent now has its turn.
	Sent int
	// Settled has been read, so that another engine can fetch it.
	Settled int
}

// Holdings remembers which engines have read which beginnings of prompts. What an engine read
// in an earlier life, or is said to have read then, is kept apart from its present one.
type Holdings struct {
	mu     sync.Mutex
	links  map[uint64]map[upstream.Life]*held
	untold []Holding
}

// NewHoldings returns an empty memory.
func NewHoldings() *Holdings { return &Holdings{links: make(map[uint64]map[upstream.Life]*held)} }

// Use notes that an engine reads all of chain.
func (h *Holdings) Use(life upstream.Life, chain []Link, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, link := range chain {
		entry := h.entry(link.Key, life, now)
		entry.used = now
		if now.Sub(entry.told) < retellAfter {
			continue
		}
		entry.told = now
		h.untold = append(h.untold, Holding{Key: link.Key, Life: life})
	}
}

// Settle notes that an engine has read all of chain.
func (h *Holdings) Settle(life upstream.Life, chain []Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, link := range chain {
		if entry := h.links[link.Key][life]; entry != nil {
			entry.settled = true
		}
	}
}

// Learn takes what another router noted.
func (h *Holdings) Learn(list []Holding, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range list {
		entry := h.entry(one.Key, one.Life, now)
		entry.used, entry.told = now, now
	}
}

func (h *Holdings) entry(key uint64, life upstream.Life, now time.Time) *held {
	byLife := h.links[key]
	if byLife == nil {
		if len(h.links) >= maxLinks {
			clear(h.links) // memory is bounded; what is in use comes back with its next use
		}
		byLife = make(map[upstream.Life]*held, 2)
		h.links[key] = byLife
	}
	entry := byLife[life]
	if entry == nil {
		entry = &held{first: now}
		byLife[life] = entry
	}
	return entry
}

// Untold gives what is new since the last call.
func (h *Holdings) Untold() []Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.untold
	h.untold = nil
	return list
}

// Kept gives what each life of an engine keeps that holds a beginning of chain; nil when none
// does.
func (h *Holdings) Kept(chain []Link, now time.Time) map[upstream.Life]Kept {
	if len(chain) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var kept map[upstream.Life]Kept
	for _, link := range chain {
		for life, entry := range h.links[link.Key] {
			if now.Sub(entry.used) >= holdingLife {
				continue
			}
			if kept == nil {
				kept = make(map[upstream.Life]Kept)
			}
			one := Kept{Sent: link.Tokens, Settled: kept[life].Settled}
			if entry.readBy(now) {
				one.Settled = link.Tokens
			}
			kept[life] = one
		}
	}
	return kept
}

// Prune drops what is past its life.
func (h *Holdings) Prune(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, byLife := range h.links {
		for life, entry := range byLife {
			if now.Sub(entry.used) >= holdingLife {
				delete(byLife, life)
			}
		}
		if len(byLife) == 0 {
			delete(h.links, key)
		}
	}
}
