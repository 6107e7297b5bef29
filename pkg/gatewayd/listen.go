package gatewayd

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Probes of silent connections, those that Go's listeners ask for on their own.
const (
	// probeIdle is the silence after which a connection is probed, probeInterval the pause
	// between two probes and probeCount how many may stay without an answer.
	probeIdle     = 15 * time.Second
	probeInterval = 15 * time.Second
	probeCount    = 9
)

// listen opens an address. The options for probes are set on the listener: an accepted
// connection inherits them, which saves the system calls for each.
func listen(addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: probe}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return l.(*net.TCPListener), nil
}

// probe makes the connections of a listener find out that they went silent.
func probe(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = setProbes(int(fd)) })
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(failed)
}

func setProbes(fd int) error {
	for _, option := range []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeIdle.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
	} {
		if err := unix.SetsockoptInt(fd, option.level, option.name, option.value); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
