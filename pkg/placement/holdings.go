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
	used time.Time
	told time.Time
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
		entry := h.entry(link.Key, life)
		entry.used = now
		if now.Sub(entry.told) < retellAfter {
			continue
		}
		entry.told = now
		h.untold = append(h.untold, Holding{Key: link.Key, Life: life})
	}
}

// Learn takes what another router noted.
func (h *Holdings) Learn(list []Holding, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range list {
		entry := h.entry(one.Key, one.Life)
		entry.used, entry.told = now, now
	}
}

func (h *Holdings) entry(key uint64, life upstream.Life) *held {
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
		entry = new(held)
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

// Kept gives, for each life of an engine that holds a beginning of chain, the tokens it
// holds; nil when none does.
func (h *Holdings) Kept(chain []Link, now time.Time) map[upstream.Life]int {
	if len(chain) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var kept map[upstream.Life]int
	for _, link := range chain {
		for life, entry := range h.links[link.Key] {
			if now.Sub(entry.used) < holdingLife {
				if kept == nil {
					kept = make(map[upstream.Life]int)
				}
				kept[life] = link.Tokens
			}
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
