package dispatch

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	errGrantExpired = errors.ConstError("the grant lapsed before the first byte")
	errSealed       = errors.ConstError("the attempt has ended")
)

type gateState uint8

const (
	gateNew     gateState = iota // no byte can have been sent
	gateOpen                     // bytes may have been sent
	gateExpired                  // the grant expired: no byte was sent
	gateSealed                   // the attempt ended before any byte
)

// gate is asked before each write to an attempt's connection, and so knows whether a byte of the
// request can have been sent.
//
// It guards against three failures. A grant expires during a dial or while the process is paused:
// start is called within the first write, so that nothing comes between the check and the byte. The
// transport returns an error, as for a canceled context, while its write loop may still write:
// after seal, no write is admitted, so that the verdict NotRun stays true. The transport resends
// the request on a second connection: only the connection of the first write is admitted.
type gate struct {
	start func() bool

	mu           sync.Mutex
	state        gateState
	conn         *conn
	firstWriteAt time.Time
	reused       bool // the connection at hand has carried requests before
}

func (g *gate) admitWrite(c *conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == gateOpen && g.conn == c {
		return nil
	}
	if g.state == gateExpired {
		return errGrantExpired
	}
	if g.state != gateNew {
		return errSealed
	}
	if g.start != nil && !g.start() {
		g.state = gateExpired
		return errGrantExpired
	}
	g.state = gateOpen
	g.conn = c
	g.firstWriteAt = time.Now()
	return nil
}

// firstWrite returns the time of the first write.
func (g *gate) firstWrite() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstWriteAt
}

// connEnded reports whether the connection that carried the request has ended.
func (g *gate) connEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil && g.conn.readFailed.Load()
}

// seal prevents writes if none has begun, and returns the final state.
func (g *gate) seal() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == gateNew {
		g.state = gateSealed
	}
	return g.state
}

// staleConn reports whether no byte was sent and the connection was a pooled one.
func (g *gate) staleConn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state == gateNew && g.reused
}

// checkFraming checks the framing of the response on the connection that carried the request.
func (g *gate) checkFraming() error {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c == nil {
		return nil
	}
	return c.checkFraming(g)
}

// dropConn closes the connection that carried the request.
func (g *gate) dropConn() {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		c.dropFor(g)
	}
}
