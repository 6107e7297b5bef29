package handover

import (
	"bytes"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
)

// pair is a caller's connection and the one to the router that it is relayed to.
type pair struct {
	caller, peer int
	target       string
	// acceptedAt is when the connection was accepted, connectStarted when the last connection
	// attempt to a router started.
	acceptedAt, connectStarted time.Time
	// attempts counts the routers that were tried.
	attempts int
	// connected is whether the connection to the router is established.
	connected bool
	// requestSent is whether bytes of the request may have been sent to the router.
	requestSent bool
	// answered is whether bytes of a response were received.
	answered bool
	// unanswered is whether bytes of a request were sent since a response last moved.
	unanswered bool
	// pendingUp holds bytes that the router's socket has not accepted yet, pendingDown those for
	// the caller's.
	pendingUp, pendingDown []byte
	// unfinished is whether the next poll goes on with the transfer without an event.
	unfinished bool
	// callerClosed and peerClosed are whether the kernel reported a hangup of that side. It reports
	// it once, possibly together with the last bytes.
	callerClosed, peerClosed bool
}

// held returns how many bytes the pair holds for receivers that are slow.
func (p *pair) held() int { return len(p.pendingUp) + len(p.pendingDown) }

// noteHangup records a hangup that an event reports.
func (p *pair) noteHangup(e unix.EpollEvent) {
	if e.Events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) == 0 {
		return
	}
	if int(e.Fd) == p.caller {
		p.callerClosed = true
	} else {
		p.peerClosed = true
	}
}

// transferState is the state of one direction of a pair.
type transferState int

const (
	// flowing: more bytes may follow.
	flowing transferState = iota
	// closed: the sender has closed its side cleanly.
	closed
	// broken: one of the two connections failed.
	broken
	// interrupted: the transfer has taken its turn, and there may be more to read.
	interrupted
)

// maxPasses is the number of reads after which a transfer lets other connections take their turn. A sender
// without end would otherwise keep them waiting.
const maxPasses = 16

// copyAvailable copies the available bytes from one socket to the other, through buf. Bytes that
// the receiver doesn't accept at once are returned as left, to be passed as rest in the next call,
// and nothing more is read until they are gone. If hungUp is set, it reads up to the end of the
// stream; otherwise a short read means that nothing more has arrived. It is interrupted after maxPasses reads.
func copyAvailable(from, to int, rest, buf []byte, hungUp bool) (left []byte, moved int, state transferState) {
	for range maxPasses {
		if len(rest) > 0 {
			n, ok := write(to, rest)
			if !ok {
				return nil, moved, broken
			}
			if n < len(rest) {
				return unwritten(rest, n), moved, flowing
			}
			rest = nil
		}
		n, err := nowait.Read(from, buf)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			return nil, moved, flowing
		case err != nil:
			return nil, moved, broken
		case n == 0:
			return nil, moved, closed
		}
		moved += n
		written, ok := write(to, buf[:n])
		if !ok {
			return nil, moved, broken
		}
		if written < n {
			return append([]byte(nil), buf[written:n]...), moved, flowing
		}
		if n < len(buf) && !hungUp {
			return nil, moved, flowing
		}
	}
	return nil, moved, interrupted
}

// unwritten returns data without the n bytes that were written, whose memory it frees.
func unwritten(data []byte, n int) []byte {
	if n == 0 {
		return data
	}
	return bytes.Clone(data[n:])
}

// write writes as much of data as the socket accepts without blocking; ok is false when the
// connection failed.
func write(to int, data []byte) (n int, ok bool) {
	n, err := nowait.Write(to, data)
	if err == unix.EAGAIN || err == unix.EINTR {
		return 0, true
	}
	return max(0, n), err == nil
}

// peekBytes reports whether bytes can be read from a socket, and whether it is still open.
func peekBytes(fd int) (waiting, open bool) {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == unix.EAGAIN || err == unix.EINTR {
		return false, true
	}
	return n > 0, err == nil && n > 0
}

// socketError returns the pending error of a socket; nil for none.
func socketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// closeWithReset closes a connection with a reset, so that a truncated response can't look
// complete.
func closeWithReset(fd int) {
	// If setting the option fails, the close is an ordinary one, and only the framing of the
	// response shows that it is truncated.
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	_ = unix.Close(fd)
}
