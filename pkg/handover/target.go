package handover

import (
	"net/netip"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Target is a router that accepts handed-over connections.
type Target struct {
	// Addr is the router's address as IP:port.
	Addr string
	// Cores is the number of CPU cores of the router; 0 when it doesn't report it.
	Cores float64
	// Config is the version of the router's configuration.
	Config int64
}

// sockaddr parses IP:port into a socket address. Only IPv4 is supported.
func sockaddr(addr string) (*unix.SockaddrInet4, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !at.Addr().Is4() {
		return nil, errors.Errorf("%s is not an IPv4 address", addr)
	}
	return &unix.SockaddrInet4{Addr: at.Addr().As4(), Port: int(at.Port())}, nil
}

// startConnect starts a non-blocking connection to addr.
func startConnect(addr string) (fd int, err error) {
	to, err := sockaddr(addr)
	if err != nil {
		return -1, err
	}
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, errors.Trace(err)
	}
	if err := setSocketOptions(fd); err != nil {
		_ = unix.Close(fd) // nothing was sent
		return -1, errors.Trace(err)
	}
	if err := unix.Connect(fd, to); err != nil && err != unix.EINPROGRESS {
		_ = unix.Close(fd) // nothing was sent
		return -1, errors.Trace(err)
	}
	return fd, nil
}

// ackTimeoutMillis is how long sent bytes may stay unacknowledged before the connection fails.
const ackTimeoutMillis = 2500

func setSocketOptions(fd int) error {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		return err
	}
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ackTimeoutMillis)
}
