// Package sockettest has what tests of connections share.
package sockettest

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// patience bounds a wait, pollInterval is the time between two looks.
	patience     = 10 * time.Second
	pollInterval = time.Millisecond
)

// AwaitUnread waits until c has received bytes that nobody has read. Closing it resets the connection then; without
// unread bytes it would end in order.
func AwaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return // it is closed
	}
	unread := 0
	for began := time.Now(); unread == 0 && time.Since(began) < patience; time.Sleep(pollInterval) {
		if raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) != nil || err != nil {
			return
		}
	}
}
