package handover

import (
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
)

// forget removes p and closes its connection to a router.
func (r *Relay) forget(p *pair) {
	r.held -= p.held()
	p.pendingUp, p.pendingDown = nil, nil
	delete(r.pairs, int32(p.caller))
	r.closePeer(p)
}

func (r *Relay) closePeer(p *pair) {
	if p.peer < 0 {
		return
	}
	delete(r.pairs, int32(p.peer))
	if a := r.stateOf(p.target); a.openConns <= 1 {
		delete(r.targetStates, p.target)
	} else {
		a.openConns--
	}
	_ = unix.Close(p.peer)
	p.peer = -1
}

// finish closes both connections. For broken the caller's connection is reset, which shows that the
// response is truncated.
func (r *Relay) finish(p *pair, state transferState) {
	if state == broken && p.unanswered && p.peer >= 0 {
		// After an ordinary close, the network would still deliver a request that a partition holds up.
		nowait.ResetOnClose(p.peer)
	}
	r.forget(p)
	if state == broken {
		closeWithReset(p.caller)
		return
	}
	_ = unix.Close(p.caller)
}
