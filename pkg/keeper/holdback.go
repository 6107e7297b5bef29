package keeper

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// holdBack is how long a content isn't granted after an upstream died under it. News
	// of suspects reaches all routers within some tens of milliseconds.
	holdBack = time.Second
	// maxHeldBack bounds the contents held back at once.
	maxHeldBack = 4096
)

// heldBack remembers contents whose upstream died a moment ago.
//
// Guard: the caller of a crashing request sees its connection break and sends it again
// at once, at another router. That claim can be here before the news that the content
// is a suspect, and the request would run once more than it may, beside innocent ones.
// The Done of the attempt that died comes over the same path as the claim, and from its
// arrival on the content waits until the news must be here.
type heldBack struct {
	until *simplelru.LRU[uint64, time.Time]
}

func newHeldBack() heldBack { return heldBack{newLRU[uint64, time.Time](maxHeldBack)} }

func (h heldBack) died(content uint64, now time.Time) {
	if content != 0 {
		h.until.Add(content, now.Add(holdBack))
	}
}

func (h heldBack) holds(content uint64, now time.Time) bool {
	until, ok := h.until.Peek(content)
	return ok && now.Before(until)
}
