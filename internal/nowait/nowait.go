// Package nowait makes system calls that don't wait, without telling the runtime.
//
// On a host whose processor is used up, a goroutine that comes back from a call known to the
// runtime may lose its place and wait behind hundreds of others.
package nowait

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Read reads what is there from a socket that doesn't block. buf isn't empty.
func Read(fd int, buf []byte) (n int, err error) {
	got, _, failed := unix.RawSyscall(unix.SYS_READ, uintptr(fd), uintptr(unsafe.Pointer(&buf[0])), uintptr(len(buf)))
	return count(got, failed)
}

// Write writes what a socket that doesn't block takes at once. data isn't empty.
func Write(fd int, data []byte) (n int, err error) {
	put, _, failed := unix.RawSyscall(unix.SYS_WRITE, uintptr(fd), uintptr(unsafe.Pointer(&data[0])), uintptr(len(data)))
	return count(put, failed)
}

// Peek gives the next bytes of a socket and leaves them there. buf isn't empty.
func Peek(fd int, buf []byte) (n int, err error) {
	got, _, failed := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(fd), uintptr(unsafe.Pointer(&buf[0])), uintptr(len(buf)), unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
	return count(got, failed)
}

// Unacknowledged gives the number of bytes written to a socket that its peer hasn't acknowledged; 0 if the
// socket doesn't tell.
func Unacknowledged(fd int) int {
	var n int32
	_, _, failed := unix.RawSyscall(unix.SYS_IOCTL, uintptr(fd), unix.SIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	if failed != 0 {
		return 0
	}
	return int(n)
}

// ResetOnClose makes the close of a socket reset its connection and drop what wasn't sent. On a socket that
// can't be reset, the close is an ordinary one.
func ResetOnClose(fd int) {
	l := unix.Linger{Onoff: 1}
	_, _, _ = unix.RawSyscall6(unix.SYS_SETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_LINGER, uintptr(unsafe.Pointer(&l)), unsafe.Sizeof(l), 0)
}

// Events gives the events of an epoll descriptor that are there. events isn't empty.
func Events(epoll int, events []unix.EpollEvent) (n int, err error) {
	got, _, failed := unix.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll), uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), 0, 0, 0)
	return count(got, failed)
}

// ProcessorTime is the processor time that this process has used, ThreadTime that of the calling
// thread.
func ProcessorTime() time.Duration { return clock(unix.CLOCK_PROCESS_CPUTIME_ID) }

func ThreadTime() time.Duration { return clock(unix.CLOCK_THREAD_CPUTIME_ID) }

func clock(id uintptr) time.Duration {
	var at unix.Timespec
	// It can't fail with these arguments.
	_, _, _ = unix.RawSyscall(unix.SYS_CLOCK_GETTIME, id, uintptr(unsafe.Pointer(&at)), 0)
	return time.Duration(at.Nano())
}

// Poll gives which of its events a descriptor has now.
func Poll(fd int32, events int16) (found int16) {
	p := unix.PollFd{Fd: fd, Events: events}
	var at unix.Timespec // zero: don't wait
	n, _, failed := unix.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&at)), 0, 0, 0)
	if failed != 0 || n == 0 {
		return 0
	}
	return p.Revents
}

func count(n uintptr, failed unix.Errno) (int, error) {
	if failed != 0 {
		return 0, failed
	}
	return int(n), nil
}
