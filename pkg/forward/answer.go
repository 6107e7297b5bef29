package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Times for which an idle connection is kept.
const (
	// idleDefault is for upstreams that don't say how long they keep theirs.
	idleDefault = 3 * time.Second
	// idleMargin is how much sooner than the upstream we give one up, so that a request
	// doesn't cross its close.
	idleMargin = 800 * time.Millisecond
)

// Answer is an upstream's answer while it is read.
type Answer struct {
	Status int
	Header http.Header
	// Framing tells where the body ends; Ending is what ended its reading, empty until then.
	Framing Framing
	Ending  Ending

	// ctx is the call's.
	ctx     context.Context
	pool    *pool
	conn    *conn
	stop    func() bool
	abort   *Abort
	body    io.ReadCloser
	keep    time.Duration
	ended   bool
	written chan error
}

func (a *Answer) accept(resp *http.Response) {
	a.Status, a.Header, a.body = resp.StatusCode, resp.Header, resp.Body
	a.Framing = framingOf(resp)
	a.conn.fresh = false
	a.keep = keepFor(resp)
}

// keepFor is how long the connection may stay idle after resp; 0 means not at all.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return idleDefault
}

// Read reads the body. io.EOF comes only when the answer is complete; one that was
// broken off gives an *Error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == nil {
		return n, nil
	}
	a.Ending = endingOf(a.Framing, err, a.abort.happened())
	if errors.Is(err, io.EOF) && !a.abort.happened() {
		if err = a.complete(); err == nil {
			a.ended = true
			return n, io.EOF
		}
	}
	if a.abort.happened() {
		err = ErrAborted // the end of a connection that we shut isn't that of an answer
	}
	return n, &Error{Sent: true, Stage: "body", cause: err}
}

// complete tells whether an answer whose end has come lacks nothing, as far as that can be told.
//
// Guard: a process that dies closes its connections in order, as does one whose answer is complete
// and framed by the close. One that died takes no new connection. The one that is opened to find out
// replaces the one that the answer has used up. An upstream that leaves stops listening before its
// last answers end, and is believed.
func (a *Answer) complete() error {
	if a.Framing != FramedByClose || a.ended || a.pool.isLeaving() {
		return nil
	}
	c, err := a.pool.dial(a.ctx)
	if err != nil && (a.abort.happened() || a.ctx.Err() != nil) {
		a.Ending = EndedHere
		return ErrAborted
	}
	if err != nil {
		a.Ending = EndedUnconfirmed
		return errors.Annotate(err, "closed by an upstream that takes no new connection")
	}
	c.until = time.Now().Add(idleDefault)
	a.pool.put(c)
	return nil
}

// Close keeps the connection for later when the answer was read to its end and nothing
// follows it, else closes it, which makes the upstream drop the request.
func (a *Answer) Close() {
	if !a.reusable() {
		a.Discard()
		return
	}
	if !a.stop() {
		a.abort.release()
		a.pool.done(a.conn) // ctx has ended: the connection is closed already
		return
	}
	if !a.abort.release() {
		a.pool.done(a.conn)
		return
	}
	a.conn.until = time.Now().Add(a.keep)
	a.pool.put(a.conn)
}

// Distrust has Close close the connection, as what came on it isn't what its framing says.
func (a *Answer) Distrust() { a.keep = 0 }

func (a *Answer) reusable() bool {
	if !a.ended || a.keep <= 0 || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.written == nil {
		return true
	}
	// Guard: an answer may come before the body is in. Another request's bytes would
	// then arrive where the rest of this body is due.
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Discard closes the connection.
func (a *Answer) Discard() {
	a.stop()
	a.abort.release()
	a.pool.done(a.conn)
}
