package admission

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SetHandover sets the function that hands connections over to other routers. It is tried before
// admission while handoverOn returns true, and otherwise before a connection is shed. It must be
// called before the first Accept.
func (l *Listener) SetHandover(handOver func(fd int, now time.Time) bool, handoverOn func() bool) {
	l.handOver, l.handoverOn = handOver, handoverOn
}

// Refuse refuses a connection of which nothing was read, or closes it when the CPU budget is used
// up.
func (l *Listener) Refuse(fd int) {
	now := l.now()
	l.arrivals.countShed(1, now)
	if l.refuser.refuse(refusedConn{fd: fd, acceptedAt: now}) {
		return
	}
	_ = unix.Close(fd) // nothing was read or will be sent
	l.closedCount.Add(1)
}

// handOverConn hands over a connection that is registered with the runtime, through a duplicate of
// its descriptor.
func (l *Listener) handOverConn(c *net.TCPConn, now time.Time) bool {
	if l.handOver == nil {
		return false
	}
	duplicate, err := unix.FcntlInt(uintptr(descriptor(c)), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return false // the connection is closed, or no descriptor is left
	}
	if !l.handOver(duplicate, now) {
		_ = unix.Close(duplicate) // c is still open
		return false
	}
	_ = c.Close() // duplicate is still open
	return true
}
