package keeper

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// endedClaim is a claim that no longer holds a slot.
type endedClaim struct {
	upstream string
	org      string
	charged  wire.Units
	// final is set when the router itself ended the claim, by Done or Cancel. Otherwise the
	// keeper reclaimed the slot, and the router may still want the claim.
	final bool
	// unused is set when the router sent nothing to the upstream under this grant.
	unused bool
}

// endedCache remembers ended claims, so that a copy of a claim that arrives after its own
// Done isn't granted again.
type endedCache struct {
	lru *simplelru.LRU[claimKey, endedClaim]
}

func newEndedCache() endedCache { return endedCache{newLRU[claimKey, endedClaim](maxEnded)} }

func (r endedCache) add(k claimKey, e endedClaim) { r.lru.Add(k, e) }

func (r endedCache) get(k claimKey) (endedClaim, bool) { return r.lru.Peek(k) }

func (r endedCache) isFinal(k claimKey) bool {
	e, ok := r.lru.Peek(k)
	return ok && e.final
}

func (r endedCache) remove(k claimKey) { r.lru.Remove(k) }
