package handover

import "time"

// transfer copies the available bytes in both directions.
func (r *Relay) transfer(p *pair, now time.Time) {
	if !p.requestSent && p.callerClosed {
		r.finish(p, closed)
		return
	}
	p.requestSent = true
	var state transferState
	var sent, moved int
	held := p.held()
	p.pendingUp, sent, state = copyAvailable(p.caller, p.peer, p.pendingUp, r.readBuffer(), p.callerClosed)
	r.held += p.held() - held
	p.unanswered = p.unanswered || sent > 0
	if state == broken {
		r.passOnRest(p)
	}
	if state == closed || state == broken {
		r.finish(p, state) // the caller has disconnected, or the router failed
		return
	}
	more := state == interrupted
	held = p.held()
	p.pendingDown, moved, state = copyAvailable(p.peer, p.caller, p.pendingDown, r.readBuffer(), p.peerClosed)
	r.held += p.held() - held
	if (more || state == interrupted) && !p.unfinished {
		p.unfinished = true
		r.unfinished = append(r.unfinished, p)
	}
	p.answered = p.answered || moved > 0
	p.unanswered = p.unanswered && moved == 0
	r.targetStates[p.target].recordTransfer(sent, moved, now)
	r.meter.Received(sent + moved)
	r.meter.Sent(sent + moved)
	switch {
	case state == broken:
		r.finish(p, broken)
	case state == closed && !p.answered:
		r.finish(p, broken) // the request may have run
	case state == closed:
		r.finish(p, closed)
	}
}

// passOnRest passes on what the router sent before its connection failed: an answer may wait there, whose
// framing tells whether it is whole.
func (r *Relay) passOnRest(p *pair) {
	held := p.held()
	p.pendingDown, _, _ = copyAvailable(p.peer, p.caller, p.pendingDown, r.readBuffer(), true)
	r.held += p.held() - held
}

// readBuffer returns the buffer for a transfer's reads.
func (r *Relay) readBuffer() []byte {
	if r.held > maxHeld {
		return r.buf[:smallRead]
	}
	return r.buf
}

// resume goes on with the transfers that were interrupted.
func (r *Relay) resume(pairs []*pair) {
	for _, p := range pairs {
		p.unfinished = false
		if r.pairs[int32(p.caller)] == p && p.connected {
			r.transfer(p, time.Now())
		}
	}
}
