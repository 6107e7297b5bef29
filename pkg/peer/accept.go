package peer

import (
	"context"
	"crypto/x509"
	"io"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// accept takes peers' connections until the transport closes.
func (t *Transport) accept() {
	for {
		q, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.duties.start(func() { t.welcome(q) })
	}
}

// welcome opens this side's stream on an accepted connection and reads from it.
func (t *Transport) welcome(q *quic.Conn) {
	c, err := newConn(q, accepted, t.epoch)
	if err != nil || c.peer == t.opts.ID {
		_ = q.CloseWithError(codeProtocol, "no use for this connection")
		t.counters.refused.Add(1)
		return
	}
	t.receive(c)
}

// receive is the duty of one connection: it hands frames on until the connection ends.
func (t *Transport) receive(c *conn) {
	wasProven := false
	defer func() {
		t.untrack(c)
		if l := t.linkIfAny(c.peer); l != nil {
			l.lost(c, wasProven)
		}
	}()
	reader, err := t.header(c)
	if err != nil {
		c.close(codeProtocol, "no stream header")
		return
	}
	wasProven = true
	if c.side == accepted {
		t.adopt(c)
	}
	if l := t.linkIfAny(c.peer); l != nil {
		l.proven()
	}
	t.frames(c, reader)
}

// header waits for the peer's stream for as long as a handshake may take.
func (t *Transport) header(c *conn) (*frameReader, error) {
	ctx, cancel := context.WithTimeout(t.ctx, 2*t.opts.HandshakeTimeout)
	defer cancel()
	return c.readHeader(ctx)
}

func (t *Transport) frames(c *conn, reader *frameReader) {
	for {
		f, err := reader.next()
		if err != nil {
			t.ended(c, err)
			return
		}
		t.counters.framesReceived.Add(1)
		t.handler.HandleFrame(c.peer, f)
	}
}

// ended closes a connection whose stream is over. After io.EOF the peer has said all
// and waits for this side to close.
func (t *Transport) ended(c *conn, err error) {
	if errors.Is(err, io.EOF) {
		c.close(codeBye, "read to the end")
		return
	}
	entry := t.opts.Log.WithError(err).WithField("peer", c.peer)
	if errors.Is(err, errBadFrame) {
		entry.Warn("peer sent what can't be read")
	} else {
		entry.Debug("connection to peer ended")
	}
	c.close(codeProtocol, "unreadable stream")
}

// usage is what the peer's certificate must be good for.
func (c *conn) usage() x509.ExtKeyUsage {
	if c.side == accepted {
		return x509.ExtKeyUsageClientAuth
	}
	return x509.ExtKeyUsageServerAuth
}
