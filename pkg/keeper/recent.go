package keeper

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// ended is a claim that holds no slot any more.
type ended struct {
	upstream string
	org      string
	charged  wire.Units
	// final says that the router itself ended the claim (Done or Cancel). Otherwise the
	// keeper gave the slot up for other reasons, and the router may still want the claim.
	final bool
	// unused says that the router sent nothing to the upstream under this grant.
	unused bool
}

// recent remembers ended claims, so that a copy of a claim that overtook its own Done
// isn't granted again.
type recent struct {
	lru *simplelru.LRU[key, ended]
}

func newRecent() recent { return recent{newLRU[key, ended](maxRecent)} }

func (r recent) add(k key, e ended) { r.lru.Add(k, e) }

func (r recent) get(k key) (ended, bool) { return r.lru.Peek(k) }

func (r recent) final(k key) bool {
	e, ok := r.lru.Peek(k)
	return ok && e.final
}

func (r recent) forget(k key) { r.lru.Remove(k) }
