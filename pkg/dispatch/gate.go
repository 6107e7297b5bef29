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
	gateNew     gateState = iota // no byte can have left
	gateOpen                     // bytes may have left
	gateExpired                  // Start refused: no byte left
	gateSealed                   // ended before any byte
)

// gate stands before each write of one attempt's connection, and so knows whether a
// byte of the request can have left.
//
// It guards against three failures. The grant lapses while a dial is under way or the
// process is paused: start is asked within the first write, so nothing comes between
// the check and the byte. The transport reports an error (a cancelled context) while
// its write loop is still about to write: after seal no write passes, so a verdict
// NotRun stays true. The transport sends the request again on a second connection: only
// the connection of the first write passes.
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

// firstWrite is the time of the first write.
func (g *gate) firstWrite() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstWriteAt
}

// connEnded reports whether the connection that carried the request has connEnded.
func (g *gate) connEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil && g.conn.readFailed.Load()
}

// seal ends the attempt for writes that haven't begun and gives the final state.
func (g *gate) seal() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == gateNew {
		g.state = gateSealed
	}
	return g.state
}

// staleConn reports whether no byte has left and the connection was a kept-alive one.
func (g *gate) staleConn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state == gateNew && g.reused
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
