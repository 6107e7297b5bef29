package keeper

import "github.com/flamingowind/flamingowind/pkg/wire"

// Out is one message for a router; one of Grant and Refusal is set.
type Out struct {
	To wire.RouterID
	// Incarnation is the life of the router that claimed. A message must not reach
	// another life, in which the same ClaimID may name another request.
	Incarnation wire.Incarnation
	Grant       *wire.Grant
	Refusal     *wire.Refusal
}
