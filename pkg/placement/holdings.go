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

// Holding says that an engine has read a link.
type Holding struct {
	Key      uint64
	Instance upstream.ID
}

type held struct {
	used time.Time
	told time.Time
}

// Holdings remembers which engines have read which beginnings of prompts.
type Holdings struct {
	mu     sync.Mutex
	links  map[uint64]map[upstream.ID]*held
	untold []Holding
}

// NewHoldings returns an empty memory.
func NewHoldings() *Holdings { return &Holdings{links: make(map[uint64]map[upstream.ID]*held)} }

// Use notes that an engine reads all of chain.
func (h *Holdings) Use(id upstream.ID, chain []Link, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, link := range chain {
		entry := h.entry(link.Key, id)
		entry.used = now
		if now.Sub(entry.told) < retellAfter {
			continue
		}
		entry.told = now
		h.untold = append(h.untold, Holding{Key: link.Key, Instance: id})
	}
}

// Learn takes what another router noted.
func (h *Holdings) Learn(list []Holding, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range list {
		entry := h.entry(one.Key, one.Instance)
		entry.used, entry.told = now, now
	}
}

func (h *Holdings) entry(key uint64, id upstream.ID) *held {
	byID := h.links[key]
	if byID == nil {
		if len(h.links) >= maxLinks {
			clear(h.links) // memory is bounded; what is in use comes back with its next use
		}
		byID = make(map[upstream.ID]*held, 2)
		h.links[key] = byID
	}
	entry := byID[id]
	if entry == nil {
		entry = new(held)
		byID[id] = entry
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

// Kept gives, for each engine that holds a beginning of chain, the tokens it holds; nil when
// none does.
func (h *Holdings) Kept(chain []Link, now time.Time) map[upstream.ID]int {
	if len(chain) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var kept map[upstream.ID]int
	for _, link := range chain {
		for id, entry := range h.links[link.Key] {
			if now.Sub(entry.used) < holdingLife {
				if kept == nil {
					kept = make(map[upstream.ID]int)
				}
				kept[id] = link.Tokens
			}
		}
	}
	return kept
}

// Prune drops what is past its life.
func (h *Holdings) Prune(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, byID := range h.links {
		for id, entry := range byID {
			if now.Sub(entry.used) >= holdingLife {
				delete(byID, id)
			}
		}
		if len(byID) == 0 {
			delete(h.links, key)
		}
	}
}
