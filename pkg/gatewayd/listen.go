package gatewayd

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
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

// listenBacklog listens for callers, with at most backlog connections waiting to be accepted.
//
// The standard library has no option for the backlog.
func listenBacklog(addr string, backlog int) (*net.TCPListener, error) {
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
	if err := setKeepAlive(fd); err != nil {
		return nil, errors.Trace(err)
	}
	if err := unix.Bind(fd, sa); err != nil {
		return nil, errors.Trace(err)
	}
	if err := unix.Listen(fd, backlog); err != nil {
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

// listen opens a listener with keep-alive options. Accepted connections inherit them, which saves
// the system calls for each connection.
func listen(addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: controlKeepAlive}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return l.(*net.TCPListener), nil
}

// controlKeepAlive enables keep-alive probes, so that connections to lost hosts are closed.
func controlKeepAlive(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) { optionErr = setKeepAlive(int(fd)) })
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optionErr)
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
