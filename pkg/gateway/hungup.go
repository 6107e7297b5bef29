package gateway

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// hungUp reports whether the other side has closed the socket or reset it, whatever is
// unread before that. The next byte is looked at first, as a poll costs more and is needed
// only where something is unread.
//
// The system calls don't wait, so they are made without telling the runtime: on a host whose
// processor is used up, a goroutine that comes back from a call known to the runtime may
// lose its place and wait behind hundreds of others, and what it saw is seconds old then.
func hungUp(fd int32) bool {
	var b [1]byte
	n, _, failed := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(fd), uintptr(unsafe.Pointer(&b)), 1, unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
	if failed != 0 {
		return failed == unix.ECONNRESET
	}
	return n == 0 || closeBehind(fd)
}

// closeBehind reports whether a close or a reset lies behind bytes that are unread.
func closeBehind(fd int32) bool {
	p := unix.PollFd{Fd: fd, Events: unix.POLLRDHUP}
	var at unix.Timespec // zero: don't wait
	n, _, failed := unix.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&at)), 0, 0, 0)
	if failed != 0 || n == 0 {
		return false
	}
	return p.Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
