package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Errors of an upstream that can't be shown to have survived the end of its response.
const (
	ErrOtherLife  = errors.ConstError("another process answers at the upstream's address")
	ErrUnanswered = errors.ConstError("the upstream doesn't tell which process it is")
)

// maxIdentity is the size, in bytes, that the body of a response to a life check may have.
const maxIdentity = 256 << 10

// LifeCheck asks a process which life of an instance it is.
type LifeCheck struct {
	// URI is the target of the GET request, which takes no slot of the upstream.
	URI string
	// Header returns the headers of the request to an instance.
	Header func(upstream.ID) http.Header
	// IsReport reports whether a response may be one to the request: anything else proves nothing.
	IsReport func(status int, body []byte) bool
	// Denies reports whether a response comes from another life than that of in.
	Denies func(in *upstream.Instance, status int, h http.Header, body []byte) bool
}

// SetLifeCheck sets how upstreams are asked. It must be called before the first call. Without it, an
// upstream that accepts a connection counts as the same life.
func (ps *Pools) SetLifeCheck(c LifeCheck) {
	ps.identity = &identityCheck{LifeCheck: c, idHeader: ps.idHeader, buffers: ps.buffers}
}

// identityCheck is a LifeCheck with what reading its responses takes.
type identityCheck struct {
	LifeCheck
	idHeader string
	buffers  *buffers.Budget
}

// confirmLife returns an error unless the life of in that the pool leads to has outlived a response whose
// connection it closed.
//
// Guard: after a crash, a new process may listen at the address before this router has read the close,
// for example after the router stood still. So a new connection alone proves nothing.
func (p *pool) confirmLife(ctx context.Context, in *upstream.Instance, check *identityCheck) error {
	if check == nil {
		return p.probe(ctx)
	}
	if c := p.takeIdle(time.Now()); c != nil && p.ask(ctx, c, in, check) == nil {
		return nil
	}
	c, err := p.dial(ctx, openedProbe)
	if err != nil {
		return err
	}
	return p.ask(ctx, c, in, check)
}

// ask makes the check on a busy connection, which it releases or discards.
func (p *pool) ask(ctx context.Context, c *conn, in *upstream.Instance, check *identityCheck) error {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	idleTimeout, err := check.exchange(c, in)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	switch {
	case errors.Is(err, ErrOtherLife):
		p.discard(c, closedError)
		return err
	case err != nil:
		p.discard(c, closedError)
		return fmt.Errorf("%w: %w", ErrUnanswered, err)
	case idleTimeout <= 0 || c.reader.Buffered() > 0:
		p.discard(c, closedByUpstream)
		return nil
	}
	c.idleDeadline = time.Now().Add(idleTimeout)
	p.release(c)
	return nil
}

// exchange makes the check. It returns how long the connection may stay idle afterwards, 0 if it can't be
// reused.
func (check *identityCheck) exchange(c *conn, in *upstream.Instance) (time.Duration, error) {
	if err := c.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, errors.Trace(err)
	}
	c.head.lease = check.buffers.Lease()
	defer c.head.lease.Release()
	request, err := check.write(c, in)
	if err != nil {
		return 0, err
	}
	resp, err := c.head.readResponse(c.reader, DefaultMaxHead, request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if id := resp.Header.Get(check.idHeader); id != "" {
		return 0, errors.Errorf("response has request ID %q", id)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxIdentity+1))
	if err == nil && len(body) > maxIdentity {
		err = errors.Errorf("the response exceeds %d bytes", maxIdentity)
	}
	if err != nil {
		return 0, errors.Trace(err)
	}
	if !check.IsReport(resp.StatusCode, body) {
		return 0, errors.Errorf("the response with status %d is no report", resp.StatusCode)
	}
	c.fresh = false
	if check.Denies(in, resp.StatusCode, resp.Header, body) {
		return 0, ErrOtherLife
	}
	if framingOf(resp) == FramedByClose {
		return 0, nil
	}
	return idleTimeoutOf(resp), errors.Trace(c.SetDeadline(time.Time{}))
}

// write sends the request of the check.
func (check *identityCheck) write(c *conn, in *upstream.Instance) (*http.Request, error) {
	buf := headerBuffers.Get().(*bytes.Buffer)
	defer headerBuffers.Put(buf)
	buf.Reset()
	writeHeader(buf, &Call{Method: http.MethodGet, URI: check.URI, Host: in.Addr, Header: check.Header(in.ID)})
	_, err := c.Write(buf.Bytes())
	return &http.Request{Method: http.MethodGet}, errors.Trace(err)
}
