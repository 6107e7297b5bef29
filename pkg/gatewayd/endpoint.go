package gatewayd

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/admission"
)

// Bounds of the servers' connections.
const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any configured one: a connection that is closed while a
	// caller sends on it costs that request, an idle one only a few kilobytes.
	idleTimeout = time.Minute
	// maxHeader bounds a request's head, in bytes.
	maxHeader = 64 << 10
)

// endpoint is one address that the process serves.
type endpoint struct {
	name     string
	server   *http.Server
	listener net.Listener
}

func listenEndpoint(name, addr string, h http.Handler) (*endpoint, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", name)
	}
	return newEndpoint(name, l, h), nil
}

func newEndpoint(name string, l net.Listener, h http.Handler) *endpoint {
	return &endpoint{name: name, listener: l, server: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}}
}

// connCounter counts the open connections of a face.
type connCounter struct {
	open atomic.Int64
	// limit is the number from which on connections are not kept.
	limit atomic.Int64
}

// observe is a server's hook for the states of its connections.
func (c *connCounter) observe(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateActive:
		if admitted, ok := conn.(*admission.Conn); ok {
			admitted.Leave()
		}
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// overLimit reports whether there are more connections than should be kept.
//
// Guard: callers open a new connection for each retry and keep the old ones. Kept by us
// as well, thousands of idle ones take the process's descriptors, new callers wait for
// seconds to be accepted, and their memory is that of hundreds of requests. Answers that
// say that their connection closes end it without a request crossing the close.
func (c *connCounter) overLimit() bool { return c.open.Load() > c.limit.Load() }
