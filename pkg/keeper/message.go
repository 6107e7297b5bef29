package keeper

import "github.com/flamingowind/flamingowind/pkg/wire"

// Message is a message to a router. Either Grant or Refusal is set.
type Message struct {
	To wire.RouterID
	// Incarnation is the incarnation of the router that sent the claim. The message must
	// not reach another one, in which the same ClaimID may identify another request.
	Incarnation wire.Incarnation
	Grant       *wire.Grant
	Refusal     *wire.Refusal
}
