package keeper

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// cooldownDuration is how long a content isn't granted after an upstream crashed under
	// it. All routers learn of a suspect within some tens of milliseconds.
	cooldownDuration = time.Second
	// maxCooldowns bounds the contents that are tracked at once.
	maxCooldowns = 4096
)

// crashCooldown tracks contents whose upstream has just crashed.
//
// The failure it guards against: the caller of a crashing request sees its connection break
// and retries at once, at another router. That claim can arrive before the report that the
// content is a suspect, and the request would run once more than allowed, beside unrelated
// ones. The Done of the crashed attempt takes the same path as the claim; from its arrival
// on the content waits until the report must have arrived.
type crashCooldown struct {
	deadlines *simplelru.LRU[uint64, time.Time]
}

func newCrashCooldown() crashCooldown { return crashCooldown{newLRU[uint64, time.Time](maxCooldowns)} }

func (h crashCooldown) start(content uint64, now time.Time) {
	if content != 0 {
		h.deadlines.Add(content, now.Add(cooldownDuration))
	}
}

func (h crashCooldown) active(content uint64, now time.Time) bool {
	until, ok := h.deadlines.Peek(content)
	return ok && now.Before(until)
}
