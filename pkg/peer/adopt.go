package peer

import (
	"time"
)

// adopt puts a connection to use for its peer and settles it against an older one.
func (t *Transport) adopt(c *conn) {
	l := t.linkFor(c.peer)
	if l == nil || !t.track(c) {
		c.close(codeBye, "closing")
		return
	}
	if loser := l.adopt(c); loser != nil {
		t.retire(loser)
	}
}

// adopt gives the connection that lost, or nil when there was no other.
func (l *link) adopt(c *conn) (loser *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = time.Now()
	old := l.conn
	if old != nil && old.alive() {
		if !prefersNew(l.t.opts.ID, l.peer, old.side, c.side, old.epoch.Load(), c.epoch.Load()) {
			return c
		}
		loser = old
	}
	l.conn = c
	close(l.adopted)
	l.adopted = make(chan struct{})
	return loser
}

// retire closes a connection that lost, after the frames on their way have come. The
// side that dialled goes first, so that the other one never cuts off its frames.
func (t *Transport) retire(c *conn) {
	grace := retireAfter
	if c.side == accepted {
		grace = 2 * retireAfter
	}
	t.duties.start(func() {
		t.pause(grace)
		c.close(codeRetired, "settled on another connection")
	})
}

// proven notes that the peer has accepted this router's certificate, which a dialler
// learns only from the peer's first bytes: the backoff starts anew.
//
// Guard: in TLS 1.3 the dialler's handshake ends before the peer has looked at the
// dialler's certificate. A refused router would dial, "succeed", be cut off and dial
// again without any pause if the dial's end were taken for success.
func (l *link) proven() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.retryAt = time.Time{}
}

// lost notes that a connection ended; one that never was proven counts as a failed try.
func (l *link) lost(c *conn, wasProven bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
	if c.side == dialled && !wasProven {
		l.failures++
		l.retryAt = time.Now().Add(l.t.backoff.after(l.failures))
	}
}

// track keeps c for Close; false when the transport closes already.
func (t *Transport) track(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.conns[c] = struct{}{}
	t.counters.connections.Add(1)
	return true
}

func (t *Transport) untrack(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[c]; ok {
		delete(t.conns, c)
		t.counters.connections.Add(-1)
	}
}
