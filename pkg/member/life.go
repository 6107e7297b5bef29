package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// refutationBits is the low part of an incarnation, which counts refutations.
const refutationBits = 16

// firstIncarnation of a process that started at start.
//
// Routers keep nothing on disk, so the clock makes a restart's incarnation higher than
// the last life's. A clock that went back does no harm: peers answer with the record of
// the old life, and the router takes one above it.
func firstIncarnation(start time.Time) wire.Incarnation {
	return wire.Incarnation(start.UnixMilli()) << refutationBits
}

// Life gives the part of an incarnation that stays the same while a process runs: it
// tells a restart from a refuted suspicion.
func Life(i wire.Incarnation) uint64 { return uint64(i) >> refutationBits }

// above gives the incarnation with which a router of incarnation own answers a claim
// about itself of incarnation claimed. A claim of a later life was made about another
// process, so this one takes a life of its own above it.
func above(own, claimed wire.Incarnation) wire.Incarnation {
	if Life(claimed) > Life(own) {
		return wire.Incarnation(Life(claimed)+1) << refutationBits
	}
	return max(own, claimed) + 1
}
