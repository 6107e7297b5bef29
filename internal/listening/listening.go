// Package listening opens listening sockets with bounds on what the kernel holds for them.
package listening

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Keep-alive parameters, equal to the defaults of Go's listeners.
const (
	// keepAliveIdle is the idle time after which a connection is probed, keepAliveInterval the time
	// between two probes and keepAliveCount the number of unanswered probes that closes it.
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 15 * time.Second
	keepAliveCount    = 9
)

// Limits bound what the kernel holds for a listening socket.
type Limits struct {
	// Backlog is the number of connections that may wait to be accepted.
	Backlog int
	// ReceiveBuffer is that of each connection, in bytes. The kernel holds up to half as much again of what a client sends before
	// it is read.
	ReceiveBuffer int
}

// TCP opens a listening socket. Connections inherit its receive buffer and keep-alive options, which saves the system calls for
// each of them.
//
// The standard library has no option for the backlog.
func TCP(addr string, limits Limits) (*net.TCPListener, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	family, sa := sockaddr(addrPort)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	file := os.NewFile(uintptr(fd), addr)
	defer file.Close() // the listener duplicates the descriptor
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Trace(err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, limits.ReceiveBuffer); err != nil {
		return nil, errors.Trace(err)
	}
	if err := setKeepAlive(fd); err != nil {
		return nil, errors.Trace(err)
	}
	if err := unix.Bind(fd, sa); err != nil {
		return nil, errors.Trace(err)
	}
	if err := unix.Listen(fd, limits.Backlog); err != nil {
		return nil, errors.Trace(err)
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return l.(*net.TCPListener), nil
}

// sockaddr converts an address to a kernel socket address and its family.
func sockaddr(addr netip.AddrPort) (family int, sa unix.Sockaddr) {
	ip, port := addr.Addr().Unmap(), int(addr.Port())
	if ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: ip.As16()}
}

func setKeepAlive(fd int) error {
	for _, option := range []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveCount},
	} {
		if err := unix.SetsockoptInt(fd, option.level, option.name, option.value); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
