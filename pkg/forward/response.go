package forward

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Bounds on how long an idle connection is kept.
const (
	// defaultIdleTimeout is for upstreams that don't state their own timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is how much sooner than the upstream this side closes an idle connection,
	// so that a request and the upstream's close don't cross.
	idleTimeoutMargin = 800 * time.Millisecond
)

// Response is an upstream's response, whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Framing tells how the end of the body is marked. Ending tells what ended the reading of the
	// body; it is empty until then.
	Framing Framing
	Ending  Ending
	// Notice is what the head says about the upstream.
	Notice upstream.Notice

	// ctx is the call's context.
	ctx           context.Context
	instance      *upstream.Instance
	identity      *identityCheck
	pool          *pool
	conn          *conn
	stopAfterFunc func() bool
	abort         *Abort
	body          io.ReadCloser
	idleTimeout   time.Duration
	atEOF         bool
	// contradictory says that the body contradicts the framing.
	contradictory bool
	bodySent      chan error
	// reused says that the connection had carried another request before.
	reused bool
}

func (r *Response) setHeader(resp *http.Response) {
	r.Status, r.Header, r.body = resp.StatusCode, resp.Header, resp.Body
	r.Framing = framingOf(resp)
	r.conn.fresh = false
	r.conn.unanswered.Store(false)
	r.idleTimeout = idleTimeoutOf(resp)
}

// idleTimeoutOf returns how long the connection may stay idle after resp; 0 means that it can't be
// reused.
func idleTimeoutOf(resp *http.Response) time.Duration {
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
		return time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return defaultIdleTimeout
}

// Read reads the body. It returns io.EOF only if the response is complete, and an *Error if it was
// broken off.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == nil {
		return n, nil
	}
	r.Ending = endingOf(r.Framing, err, r.abort.isTriggered())
	if errors.Is(err, io.EOF) && !r.abort.isTriggered() {
		if err = r.confirmComplete(); err == nil {
			r.atEOF = true
			return n, io.EOF
		}
	}
	if r.abort.isTriggered() {
		err = ErrAborted // the end of a connection that was shut down here doesn't end the response
	}
	return n, &Error{Sent: true, Stage: "body", cause: err}
}

// confirmComplete returns an error if a response whose end was read may be incomplete.
//
// Guard: the connections of a crashed process are closed in the same way as one whose close ends a
// complete response. But a crashed process accepts no new connections and answers on none. The
// connection that is used for this check replaces the one that the response has used up. An upstream
// that drains may end as abruptly as any other, so its close is confirmed in the same way.
func (r *Response) confirmComplete() error {
	if r.Framing != FramedByClose || r.atEOF {
		return nil
	}
	err := r.pool.confirmLife(r.ctx, r.instance, r.identity)
	if err != nil && (r.abort.isTriggered() || r.ctx.Err() != nil) {
		r.Ending = EndedByAbort
		return ErrAborted
	}
	if err != nil {
		r.Ending = EndedUnconfirmed
		return errors.Annotate(err, "connection closed by an upstream that has not been shown to live on")
	}
	return nil
}

// DiscardBody reads the body, up to limit bytes and for no longer than timeout, so that the connection can be
// reused.
func (r *Response) DiscardBody(limit int64, timeout time.Duration) error {
	if err := r.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Trace(err)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r, limit)); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.Ending = EndedByAbort // by this router, whatever the upstream would have sent
		}
		return errors.Trace(err)
	}
	return errors.Trace(r.conn.SetReadDeadline(time.Time{}))
}

// Close keeps the connection for reuse if the response was read to its end and nothing follows it.
// Otherwise it closes the connection, which makes the upstream drop the request.
func (r *Response) Close() {
	r.conn.head.lease.Release()
	if !r.reusable() {
		r.Discard()
		return
	}
	if !r.stopAfterFunc() {
		r.abort.detach()
		r.pool.discard(r.conn, closedAborted) // the context has ended, which closed the connection
		return
	}
	if !r.abort.detach() {
		r.pool.discard(r.conn, closedAborted)
		return
	}
	r.conn.idleDeadline = time.Now().Add(r.idleTimeout)
	r.pool.release(r.conn)
}

// DisableReuse makes Close close the connection, because its bytes contradict the response's framing.
func (r *Response) DisableReuse() { r.contradictory = true }

func (r *Response) reusable() bool {
	if !r.atEOF || r.contradictory || r.idleTimeout <= 0 || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.bodySent == nil {
		return true
	}
	// Guard: a response may arrive before the whole body was sent. On a reused connection, the
	// upstream would read the next request as the rest of this body.
	select {
	case err := <-r.bodySent:
		return err == nil
	default:
		return false
	}
}

// Discard closes the connection.
func (r *Response) Discard() {
	reason := r.discardReason()
	r.conn.head.lease.Release()
	r.stopAfterFunc()
	r.abort.detach()
	r.pool.discard(r.conn, reason)
}

// discardReason is why the connection isn't kept.
func (r *Response) discardReason() connEvent {
	switch {
	case r.abort.isTriggered(), r.ctx.Err() != nil, r.Ending == EndedByAbort:
		return closedAborted
	case r.body == nil, r.contradictory, r.Ending != "" && !r.atEOF:
		return closedError
	case !r.atEOF:
		return closedUnread
	case r.idleTimeout <= 0, r.Framing == FramedByClose:
		return closedByUpstream
	case r.conn.reader.Buffered() > 0:
		return closedError
	}
	return closedUnsent
}
