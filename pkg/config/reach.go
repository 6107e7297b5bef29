package config

import "github.com/flamingowind/flamingowind/pkg/wire"

// Reach tells how much of the fleet this router hears.
type Reach interface {
	// Reachable counts the members that answered a ping lately, this router included,
	// and all known members: gossip, seeds and the host list together, dead ones too.
	// A member counts as answering only by the time its ping was sent.
	Reachable() (alive, known int)
}

// ReachFunc makes a function a Reach.
type ReachFunc func() (alive, known int)

// Reachable implements Reach.
func (f ReachFunc) Reachable() (alive, known int) { return f() }

// maxHeard bounds the peers whose versions are remembered.
const maxHeard = 4096

// heard holds the highest version that each peer has told.
type heard struct {
	versions map[wire.RouterID]uint64
	highest  uint64
}

func (h *heard) note(from wire.RouterID, version uint64) {
	if h.versions == nil {
		h.versions = make(map[wire.RouterID]uint64)
	}
	if _, ok := h.versions[from]; ok || len(h.versions) < maxHeard {
		h.versions[from] = max(h.versions[from], version)
	}
	h.highest = max(h.highest, version)
}
