package engine

import "time"

const (
	// cacheEventLag is how late cache events are published.
	cacheEventLag = time.Second
	// cacheEventGap is the distance between events that are lost: they are never published.
	cacheEventGap = 7
	// maxCacheEvents bounds the kept events.
	maxCacheEvents = 4096
)

// cacheEventKind says what happened to a block.
type cacheEventKind string

const (
	cacheStored  cacheEventKind = "stored"
	cacheRemoved cacheEventKind = "removed"
)

// CacheEvent tells of one block of the prefix cache. A missing Seq is a gap.
type CacheEvent struct {
	Seq   uint64         `json:"seq"`
	Kind  cacheEventKind `json:"kind"`
	Block uint64         `json:"block,string"`
	at    time.Time
}

// CacheEventList is the answer of GET /v1/cache/events.
type CacheEventList struct {
	Events []CacheEvent `json:"events"`
}

// cacheEvents keeps the latest events, oldest first.
type cacheEvents struct {
	seq  uint64
	kept []CacheEvent
}

func (e *cacheEvents) add(kind cacheEventKind, block uint64) {
	e.seq++
	if e.seq%cacheEventGap == 0 {
		return
	}
	if len(e.kept) >= 2*maxCacheEvents {
		e.kept = append(e.kept[:0], e.kept[maxCacheEvents:]...)
	}
	e.kept = append(e.kept, CacheEvent{Seq: e.seq, Kind: kind, Block: block, at: time.Now()})
}

// published returns the events above after that are old enough to be seen.
func (e *cacheEvents) published(after uint64, now time.Time) []CacheEvent {
	found := []CacheEvent{}
	for _, event := range e.kept {
		if event.Seq > after && now.Sub(event.at) >= cacheEventLag {
			found = append(found, event)
		}
	}
	return found
}
