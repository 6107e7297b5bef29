package claimant

import "github.com/flamingowind/flamingowind/pkg/wire"

// HandleGrant processes a keeper's grant. Like the other handlers it never blocks.
func (c *Claimant) HandleGrant(from wire.RouterID, g wire.Grant) { c.post(grantEvent{from, g}) }

// HandleRefusal processes a keeper's refusal.
func (c *Claimant) HandleRefusal(from wire.RouterID, r wire.Refusal) { c.post(refusalEvent{from, r}) }

// HandleState processes a keeper's answer to a report.
func (c *Claimant) HandleState(from wire.RouterID, s wire.CellState) { c.post(stateEvent{from, s}) }

// PeerRestarted says that a router came back with a new incarnation: all claims and full
// reports are sent again to the cells that it keeps.
func (c *Claimant) PeerRestarted(id wire.RouterID) { c.post(restartEvent{id}) }

// KeepersChanged makes the event loop query the Directory now instead of at its next tick.
func (c *Claimant) KeepersChanged() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// post passes a keeper's message to the event loop, or drops it when the loop is
// far behind. Waiting could deadlock: the caller may be the keeper in this process, while
// the event loop delivers messages to it. A dropped message is handled like one that the
// network lost.
func (c *Claimant) post(e event) {
	select {
	case c.messages <- e:
	default:
		c.dropped.Add(1)
	}
}
