package gateway

import (
	"io"

	"golang.org/x/sys/unix"
)

const (
	// wideBody is the size, in bytes, of a body from which on its connection gets a receive buffer of wideBuffer bytes, as one
	// for usual requests would let in only a little in each round trip. A body whose length isn't declared gets it once
	// wideChunks bytes have arrived.
	wideBody   = 64 << 10
	wideChunks = 256 << 10
	wideBuffer = 64 << 10
)

// widenReceiveBuffer lets the kernel receive more of the caller's body at a time, until the request ends. The body must have its
// memory: what the kernel receives in advance fills it later.
func (r *request) widenReceiveBuffer() {
	c := r.callerConn()
	if c == nil || c.raw == nil || r.usualReceiveBuffer > 0 {
		return
	}
	// Control fails on a closed connection.
	_ = c.raw.Control(func(fd uintptr) {
		size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
		if err != nil || size >= 2*wideBuffer {
			return
		}
		r.usualReceiveBuffer = size / 2                                              // the kernel tells twice what was set
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, wideBuffer) // the body only takes longer without it
	})
}

// restoreReceiveBuffer undoes widenReceiveBuffer.
func (r *request) restoreReceiveBuffer() {
	if r.usualReceiveBuffer == 0 {
		return
	}
	_ = r.callerConn().raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, r.usualReceiveBuffer)
	})
	r.usualReceiveBuffer = 0
}

// longBodyReader reads a body whose length isn't declared.
type longBodyReader struct {
	from    io.Reader
	request *request
	read    int
}

// Read reads from the body.
func (l *longBodyReader) Read(b []byte) (int, error) {
	n, err := l.from.Read(b)
	l.read += n
	if l.read >= wideChunks {
		l.request.widenReceiveBuffer()
	}
	return n, err
}
