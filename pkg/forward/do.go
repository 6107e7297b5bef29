package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// maxStrayResponses is the number of responses to other requests that are skipped on a
	// connection.
	maxStrayResponses = 2
	// maxStrayBody is the size, in bytes, up to which the body of such a response is skipped.
	maxStrayBody = 1 << 20
)

// Do sends c and waits for the header of the response, which the caller must close. Canceling ctx
// also ends the reading of the body.
func (ps *Pools) Do(ctx context.Context, c *Call) (*Response, error) {
	p := ps.poolFor(c.Instance)
	cn, err := p.acquire(ctx, time.Now())
	if err != nil {
		return nil, &Error{Stage: "connect", cause: err}
	}
	cn.head.lease = ps.buffers.Lease()
	stopAfterFunc := context.AfterFunc(ctx, func() { cn.Close() })
	r := &Response{ctx: ctx, pool: p, instance: c.Instance, identity: ps.identity, conn: cn, stopAfterFunc: stopAfterFunc, abort: c.Abort}
	if !c.Abort.attach(cn) {
		r.Discard()
		return nil, &Error{Stage: "connect", cause: ErrAborted}
	}
	r.reused = !cn.fresh
	if err := r.send(c); err != nil {
		r.countUnanswered(err)
		r.Discard()
		return nil, err
	}
	if err := r.readHeader(c, ps); err != nil {
		r.countUnanswered(err)
		r.Discard()
		return nil, err
	}
	ps.notices.observe(c.Instance, r)
	return r, nil
}

// countUnanswered counts a request that may have reached its upstream and gets no response.
func (r *Response) countUnanswered(err error) {
	var f *Error
	if errors.As(err, &f) && f.Sent {
		r.pool.stats.add(r.unanswered(err))
	}
}

func writeHeader(buf *bytes.Buffer, c *Call) {
	buf.WriteString(c.Method)
	buf.WriteByte(' ')
	buf.WriteString(c.URI)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(c.Host)
	buf.WriteString("\r\n")
	c.Header.Write(buf)
	if len(c.Body) > 0 || c.Method != http.MethodGet {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(c.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
}

// readHeader reads up to the header of the response to c.
//
// Guard: an upstream may send a second or a late response to an earlier request where the response
// to this one is expected. If that were taken for this one, a caller would get another caller's
// data. Responses carry the ID of their request, so any other one is skipped. What carries no ID may be
// anything, on a new connection too.
func (r *Response) readHeader(c *Call, ps *Pools) error {
	request := &http.Request{Method: c.Method}
	for stray := 0; stray <= maxStrayResponses; stray++ {
		resp, err := r.conn.head.readResponse(r.conn.reader, ps.maxHead.Load(), request)
		if err != nil {
			return &Error{Sent: true, Stage: "head", cause: err}
		}
		id := resp.Header.Get(ps.idHeader)
		if id == c.RequestID {
			if err := ps.checkProof(resp); err != nil {
				return &Error{Sent: true, Stage: "head", cause: err}
			}
			r.setHeader(resp)
			return nil
		}
		if r.conn.fresh || id == "" {
			return &Error{Sent: true, Stage: "head", cause: &MisdirectedError{RequestID: id}}
		}
		if err := discardStray(resp.Body); err != nil {
			return &Error{Sent: true, Stage: "head", cause: err}
		}
	}
	return &Error{Sent: true, Stage: "head", cause: &ExcessError{Bound: BoundStray, Limit: maxStrayResponses}}
}

// checkProof returns an error if resp is a success without proof that its upstream ran the request.
func (ps *Pools) checkProof(resp *http.Response) error {
	if ps.proofHeader == "" || resp.StatusCode >= http.StatusMultipleChoices || resp.Header.Get(ps.proofHeader) != "" {
		return nil
	}
	return &UnprovenError{Status: resp.StatusCode, Header: ps.proofHeader}
}

// discardStray reads the body of a stray response to its end. If it stopped earlier, the rest would
// be taken for the header of the next response.
func discardStray(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBody+1))
	if err == nil && n > maxStrayBody {
		err = &ExcessError{Bound: BoundStrayBody, Limit: maxStrayBody}
	}
	return errors.Trace(err)
}
