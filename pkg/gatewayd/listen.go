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

// Probes of silent connections, those that Go's listeners ask for on their own.
const (
	// keepAliveIdle is the silence after which a connection is probed, keepAliveInterval the pause
	// between two probes and keepAliveCount how many may stay without a response.
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 15 * time.Second
	keepAliveCount    = 9
)

// listenBacklog opens an address for callers, where at most backlog connections wait to be accepted.
//
// The standard library has no option for that number.
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
	defer file.Close() // the listener has a descriptor of its own
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

// sockaddr gives an address as the kernel takes it, with its family.
func sockaddr(addr netip.AddrPort) (family int, sa unix.Sockaddr) {
	ip, port := addr.Addr().Unmap(), int(addr.Port())
	if ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: ip.As16()}
}

// listen opens an address. The options for probes are set on the listener: an accepted
// connection inherits them, which saves the system calls for each.
func listen(addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: controlKeepAlive}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return l.(*net.TCPListener), nil
}

// controlKeepAlive makes the connections of a listener find out that they went silent.
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
