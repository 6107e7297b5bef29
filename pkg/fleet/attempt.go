package fleet

import "github.com/juju/errors"

// ErrOverdue is recorded when a peer has not answered in time. A late answer is still processed.
const ErrOverdue = errors.ConstError("no answer in time")

// attempt is one exchange in flight.
type attempt struct {
	peer *peer
	// overdue is set once the answer is late, ended once the exchange is over.
	overdue, ended bool
}

// begin returns the address for an exchange with p, and whether the request names other routers.
func (f *Fleet) begin(p *peer) (addr string, withOthers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The count is per peer: counted over all peers, the exchanges that name other routers could
	// always fall on the same peer, and a third router would never be discovered.
	withOthers = p.rounds%gossipEvery == 0
	p.rounds++
	return p.member.Peers, withOthers
}

// markOverdue records that a peer has not answered in time, so that another one is asked. The
// exchange itself goes on: on a saturated link every answer is late, so cancelling would make all
// exchanges fail, and each retry would open a new connection, which takes as long again.
func (f *Fleet) markOverdue(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.ended {
		return
	}
	a.overdue, a.peer.asking = true, false
	f.recordFailure(a.peer, ErrOverdue)
}

// finish records that an exchange is over.
func (f *Fleet) finish(a *attempt, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.ended = true
	a.peer.inFlight--
	if a.overdue {
		return
	}
	a.peer.asking = false
	if err != nil {
		f.recordFailure(a.peer, err)
	}
}
