package claimant

import "github.com/flamingowind/flamingowind/pkg/wire"

// HandleGrant takes a grant from a keeper. Like the other handlers it never waits.
func (c *Claimant) HandleGrant(from wire.RouterID, g wire.Grant) { c.message(granted{from, g}) }

// HandleRefusal takes a refusal from a keeper.
func (c *Claimant) HandleRefusal(from wire.RouterID, r wire.Refusal) { c.message(refused{from, r}) }

// HandleState takes a keeper's answer to a report.
func (c *Claimant) HandleState(from wire.RouterID, s wire.CellState) { c.message(stated{from, s}) }

// PeerRestarted says that a router came back under a new incarnation: the cells it
// keeps get all claims and full reports again.
func (c *Claimant) PeerRestarted(id wire.RouterID) { c.message(restarted{id}) }

// KeepersChanged makes the duty look at the Directory now instead of at its next tick.
func (c *Claimant) KeepersChanged() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// message passes a keeper's message to the duty, or drops it when the duty is far
// behind. Waiting could deadlock: the keeper in this process may be what calls, while
// the duty hands it messages. What is lost is made good as if the network had lost it.
func (c *Claimant) message(e event) {
	select {
	case c.messages <- e:
	default:
		c.lost.Add(1)
	}
}
