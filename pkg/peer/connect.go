package peer

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// retireAfter is how long a connection that lost against another one stays open for
// frames on their way.
const retireAfter = time.Second

// connect gives a live connection to the link's peer, or nil after one failed try. A
// connection that the peer opens meanwhile ends the wait.
func (l *link) connect() *conn {
	c, adopted, wait := l.current()
	if c != nil {
		return c
	}
	if !l.waitFor(adopted, wait) {
		dialled := make(chan error, 1)
		if !l.t.duties.start(func() { dialled <- l.dial() }) {
			return nil
		}
		select {
		case <-adopted:
		case err := <-dialled:
			if err != nil {
				l.failed(err)
			}
		}
	}
	c, _, _ = l.current()
	return c
}

// current gives the live connection, if any, the channel that tells of the next one,
// and how long to wait before a dial.
func (l *link) current() (c *conn, adopted <-chan struct{}, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !l.conn.alive() {
		l.conn = nil
	}
	return l.conn, l.adopted, time.Until(l.retryAt)
}

// waitFor waits out the backoff and reports whether a connection came up meanwhile.
func (l *link) waitFor(adopted <-chan struct{}, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-adopted:
		return true
	case <-timer.C:
		return false
	case <-l.t.ctx.Done():
		return false
	}
}

func (l *link) dial() error {
	addr, ok := l.t.opts.Resolver.PeerAddr(l.peer)
	if !ok {
		return errors.NotFoundf("address of router %q", l.peer)
	}
	_, err := l.t.dial(addr, l.peer)
	return err
}

// failed notes a failed try and sets the time of the next.
func (l *link) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	l.retryAt = time.Now().Add(l.t.backoff.after(l.failures))
	l.t.opts.Log.WithError(err).WithField("peer", l.peer).Debug("peer can't be reached")
}

// dial connects to addr; expect is the router that must answer there, or empty.
func (t *Transport) dial(addr string, expect wire.RouterID) (*conn, error) {
	t.counters.dials.Add(1)
	c, err := t.dialConn(addr, expect)
	if err != nil {
		t.counters.dialsFailed.Add(1)
		return nil, err
	}
	if c.peer == t.opts.ID {
		c.close(codeBye, "own address")
		return c, nil
	}
	t.adopt(c)
	if !t.duties.start(func() { t.receive(c) }) {
		c.close(codeBye, "closing")
	}
	return c, nil
}

func (t *Transport) dialConn(addr string, expect wire.RouterID) (*conn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Annotate(err, "peer address")
	}
	ctx, cancel := context.WithTimeout(t.ctx, 2*t.opts.HandshakeTimeout)
	defer cancel()
	q, err := t.quic.Dial(ctx, udp, t.keys.client(expect), t.config)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", addr)
	}
	c, err := newConn(q, dialled, t.epoch)
	if err != nil {
		_ = q.CloseWithError(codeProtocol, "no stream")
		return nil, err
	}
	return c, nil
}
