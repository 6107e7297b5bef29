package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// claimKey identifies a claim across routers and their incarnations.
type claimKey struct {
	router      wire.RouterID
	incarnation wire.Incarnation
	id          wire.ClaimID
}

// claim is a claim that waits or holds a slot.
type claim struct {
	claimKey
	wire.Claim
	waitingSince time.Time // when the request began to wait, computed from the claim's age
	expiresAt    time.Time // not granted from then on; zero for no bound
	entry        *fair.Entry[*claim]
	// heapIndex is the index in Keeper.expiry, or notInHeap.
	heapIndex int
	// omissions counts consecutive Full reports that didn't list the claim.
	omissions int
}

func (c *claim) expired(now time.Time) bool {
	return !c.expiresAt.IsZero() && !now.Before(c.expiresAt)
}
