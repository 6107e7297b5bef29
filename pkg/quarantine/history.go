package quarantine

import (
	"iter"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// history tells when contents were last known to be sound, also those that were never suspected. It is safe for
// concurrent use.
type history struct {
	mu  sync.Mutex
	lru *simplelru.LRU[uint64, time.Time]
}

// newHistory returns the history of those contents, or parts, that completed last, up to a number.
func newHistory(most int) *history { return &history{lru: newLRU[time.Time](most)} }

func (h *history) add(content uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lru.Add(content, at)
}

// addAll adds all contents of a sequence.
func (h *history) addAll(contents iter.Seq2[int, uint64], at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, content := range contents {
		h.lru.Add(content, at)
	}
}

// soundAt returns when a content was last known to be sound; zero if it isn't known.
func (h *history) soundAt(content uint64) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, _ := h.lru.Peek(content)
	return at
}
