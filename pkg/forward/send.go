package forward

import (
	"bytes"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// maxInlineBody is the size, in bytes, up to which a body is written before the response is
	// read. It fits the socket's buffer. A larger body could fill the buffer while the upstream
	// waits for this router to read an early response.
	maxInlineBody = 4 << 10
	// MaxJoinedBody is the size, in bytes, up to which a body is passed to the socket together with
	// its header: three times the 9 KB of a request with a long prompt. A body up to this size
	// isn't accessed after Do has returned.
	MaxJoinedBody = 32 << 10
)

var headerBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send writes the request. If the socket doesn't accept all of a long body at once, the rest is
// written while the response is read.
func (r *Response) send(c *Call) error {
	buf := headerBuffers.Get().(*bytes.Buffer)
	defer headerBuffers.Put(buf)
	buf.Reset()
	writeHeader(buf, c)
	// Guard: on a host whose CPU is exhausted, connecting takes seconds, and the caller may leave
	// meanwhile. Without a check at this point, the upstream would work for nobody.
	if c.StillWanted != nil && !c.StillWanted() {
		return &Error{Stage: "send", cause: ErrUnwanted}
	}
	r.conn.unanswered.Store(true)
	switch {
	case len(c.Body) <= maxInlineBody:
		buf.Write(c.Body)
		return r.sendAll(buf.Bytes())
	case len(c.Body) <= MaxJoinedBody:
		buf.Write(c.Body)
		return r.sendJoined(buf.Bytes())
	}
	if err := r.sendAll(buf.Bytes()); err != nil {
		return err
	}
	r.sendInBackground(c.Body)
	return nil
}

func (r *Response) sendAll(data []byte) error {
	n, err := r.conn.Write(data)
	if err != nil {
		return &Error{Sent: n > 0, Stage: "send", cause: err}
	}
	return nil
}

// sendJoined passes data to the socket once and writes any rest while the response is read. There
// is hardly ever a rest, which saves a goroutine and a write for each request with a body over
// maxInlineBody.
func (r *Response) sendJoined(data []byte) error {
	n, err := r.conn.tryWrite(data)
	if err != nil {
		return &Error{Sent: n > 0, Stage: "send", cause: err}
	}
	if n < len(data) {
		r.sendInBackground(bytes.Clone(data[n:])) // the buffer of data is reused
	}
	return nil
}

// sendInBackground writes data while the response is read.
func (r *Response) sendInBackground(data []byte) {
	r.bodySent = make(chan error, 1)
	go func(cn *conn, done chan<- error) {
		_, err := cn.Write(data)
		done <- err
	}(r.conn, r.bodySent)
}

// tryWrite writes as much of data as the socket accepts at once.
func (c *conn) tryWrite(data []byte) (int, error) {
	written := 0
	var writeErr error
	err := c.raw.Write(func(fd uintptr) bool {
		written, writeErr = unix.Write(int(fd), data)
		return true
	})
	if err != nil {
		return 0, err
	}
	if writeErr == unix.EAGAIN || writeErr == unix.EINTR {
		return 0, nil
	}
	c.meter.Sent(written)
	return max(0, written), writeErr
}
