package admission

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

const (
	// firstReadTimeout is how long a refused connection may take to send its request: a caller
	// sends right after connecting, and a lost packet is retransmitted within this time.
	firstReadTimeout = 500 * time.Millisecond
	// lingerTimeout is how long the rest of a refused request is read, unless the caller closes.
	lingerTimeout = 200 * time.Millisecond
	// scratchSize is the size of one read; more than most requests have.
	scratchSize = 64 << 10
)

// refusedConn is a connection that is being refused. Most are plain sockets, not registered with
// the runtime, which halves the system calls.
type refusedConn struct {
	fd int
	// conn is the connection that owns fd if it is registered with the runtime, nil otherwise.
	conn *net.TCPConn
	// begun is whether a part of the request was read before.
	begun bool
	// acceptedAt is when the connection was accepted, answeredAt when the refusal was sent; zero
	// before.
	acceptedAt, answeredAt time.Time
}

// step reads what has arrived and, the first time, sends the refusal. It reports whether the
// connection can be closed.
//
// A refusal sent before the request has arrived is an unsolicited response to the caller, which
// fails instead of retrying. Closing with unread bytes resets the connection, and the refusal is
// lost on the way. When the whole request was read, nothing more will arrive and the connection
// needs no further polling.
func (r *refusedConn) step(refusal, scratch []byte, m *traffic.Meter, now time.Time) (done bool) {
	n, err := unix.Read(r.fd, scratch)
	m.Received(n)
	wouldBlock := err == unix.EAGAIN || err == unix.EINTR
	if !r.answeredAt.IsZero() {
		return !wouldBlock && (err != nil || n == 0) || now.Sub(r.answeredAt) >= lingerTimeout
	}
	if wouldBlock && !r.begun {
		return now.Sub(r.acceptedAt) >= firstReadTimeout
	}
	if !wouldBlock && (err != nil || n == 0) {
		return true // the caller has disconnected
	}
	if _, err := unix.Write(r.fd, refusal); err != nil {
		return true // the caller has disconnected
	}
	m.Sent(len(refusal))
	r.answeredAt = now
	return !r.begun && isCompleteRequest(scratch[:n])
}

// close closes the connection; nothing is left to be sent.
func (r *refusedConn) close() {
	if r.conn != nil {
		_ = r.conn.Close()
		return
	}
	_ = unix.Close(r.fd)
}
