package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// key names one claim over all routers and their lives.
type key struct {
	router      wire.RouterID
	incarnation wire.Incarnation
	id          wire.ClaimID
}

// claim is a claim that the keeper holds, waiting or granted.
type claim struct {
	key
	wire.Claim
	since time.Time // when the request began to wait, as far as the claim tells
	until time.Time // not worth granting from then on; zero for no bound
	entry *fair.Entry[*claim]
	// expiryAt is the place in Keeper.expiry, noExpiry outside.
	expiryAt int
	// omitted counts the Full reports in a row that didn't list the claim.
	omitted int
}

func (c *claim) expired(now time.Time) bool {
	return !c.until.IsZero() && !now.Before(c.until)
}
