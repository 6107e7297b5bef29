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

// requestTimeout bounds the reading of one request with its body. It is how long probes let
// a caller be silent; a caller that is served waits less than half as long for its answer.
const requestTimeout = probeIdle + probeCount*probeInterval

// listen opens an address. The options for probes are set on the listener: an accepted
// connection inherits them. Set on each connection they were 4 of the 15.7 system calls
// for a request that is refused on a new connection.
//
// Where connections don't inherit them, the server's own timeouts end those that went
// silent: headerTimeout, requestTimeout and idleTimeout.
func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: probe}
	l, err := config.Listen(context.Background(), "tcp", addr)
	return l, errors.Trace(err)
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
