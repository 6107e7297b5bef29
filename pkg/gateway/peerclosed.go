package gateway

import (
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
)

// peerClosed reports whether the peer has closed or reset the socket, even if unread data precedes
// the close. It peeks at the next byte first: a poll costs more and is needed only if data is unread.
//
// The system calls bypass the Go scheduler: on a host whose CPU is exhausted, the goroutine might
// otherwise wait for seconds after the call, and the result would be out of date.
func peerClosed(fd int32) bool {
	var next [1]byte
	n, err := nowait.Peek(int(fd), next[:])
	if err != nil {
		return err == unix.ECONNRESET
	}
	return n == 0 || closedBehindUnread(fd)
}

// closedBehindUnread reports whether a close or a reset follows the unread data.
func closedBehindUnread(fd int32) bool {
	return nowait.Poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
