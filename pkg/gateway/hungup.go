package gateway

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// hungUp reports whether the other side has closed the socket or reset it, whatever is
// unread before that.
//
// The system call doesn't wait, so it is made without telling the runtime: on a host whose
// processor is used up, a goroutine that comes back from a call known to the runtime may
// lose its place and wait behind hundreds of others, and what it saw is seconds old then.
func hungUp(fd int32) bool {
	p := unix.PollFd{Fd: fd, Events: unix.POLLRDHUP}
	var at unix.Timespec // zero: don't wait
	n, _, failed := unix.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&at)), 0, 0, 0)
	if failed != 0 || n == 0 {
		return false
	}
	return p.Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
