package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// maxStray is how many answers to other requests are skipped on a connection.
	maxStray = 2
	// maxStrayBody bounds what is read of one, in bytes.
	maxStrayBody = 1 << 20
)

// Do sends c and waits for the head of its answer. The answer must be closed. All ends
// with ctx, also the reading of the body.
func (ps *Pools) Do(ctx context.Context, c *Call) (*Answer, error) {
	p := ps.of(c.Instance)
	cn, err := p.take(ctx, time.Now())
	if err != nil {
		return nil, &Error{Stage: "connect", cause: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	a := &Answer{ctx: ctx, pool: p, conn: cn, stop: stop, abort: c.Abort}
	if !c.Abort.hold(cn) {
		a.Discard()
		return nil, &Error{Stage: "connect", cause: ErrAborted}
	}
	if err := a.send(c); err != nil {
		a.Discard()
		return nil, err
	}
	if err := a.readHead(c, ps.idHeader); err != nil {
		a.Discard()
		return nil, err
	}
	return a, nil
}

func writeHead(buf *bytes.Buffer, c *Call) {
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

// readHead reads up to the head of the answer that belongs to c.
//
// Guard: an upstream may send a second answer to an earlier request, or a late one,
// where ours is due. Taken for ours, one caller would get another's answer. Answers
// name their request, so any other is read to its end and dropped.
func (a *Answer) readHead(c *Call, idHeader string) error {
	request := &http.Request{Method: c.Method}
	for stray := 0; stray <= maxStray; stray++ {
		resp, err := readResponse(a.conn.reader, request)
		if err != nil {
			return &Error{Sent: true, Stage: "head", cause: err}
		}
		id := resp.Header.Get(idHeader)
		if id == c.RequestID || (id == "" && a.conn.fresh) {
			a.accept(resp)
			return nil
		}
		if a.conn.fresh || id == "" {
			return &Error{Sent: true, Stage: "head", cause: errors.Errorf("answer names request %q", id)}
		}
		if err := skip(resp.Body); err != nil {
			return &Error{Sent: true, Stage: "head", cause: err}
		}
	}
	return &Error{Sent: true, Stage: "head", cause: errors.New("only answers to other requests")}
}

// skip reads a stray answer to its end. What lies behind an answer that is cut off here would be taken
// for the next answer's head.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBody+1))
	if err == nil && n > maxStrayBody {
		err = errors.Errorf("an answer to another request has more than %d bytes", maxStrayBody)
	}
	return errors.Trace(err)
}

// readResponse reads one answer's head and passes over interim ones.
func readResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}
