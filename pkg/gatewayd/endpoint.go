package gatewayd

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/admission"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

// Limits of the servers' connections.
const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any configured one: closing a connection while a caller sends on
	// it loses that request, and an idle connection takes only a few kilobytes.
	idleTimeout = time.Minute
	// maxHeader bounds a request's header, in bytes.
	maxHeader = 64 << 10
)

// endpoint is one address that the process serves.
type endpoint struct {
	name     string
	server   *http.Server
	listener net.Listener
	// forCallers is whether its requests are those of callers.
	forCallers bool
}

// newEndpoint returns an endpoint whose listener limits its connections.
func newEndpoint(name string, l net.Listener, h http.Handler) *endpoint {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	connlimit.Track(s)
	return &endpoint{name: name, listener: l, server: s}
}

// newCallersEndpoint returns an endpoint for callers' requests.
func (p *Process) newCallersEndpoint(name string, l *admission.Listener, withConn func(context.Context, net.Conn) context.Context) *endpoint {
	l.SetGroup(p.connLimits.groups[callersEndpoint])
	p.callerListeners = append(p.callerListeners, l)
	s := &http.Server{Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ConnState: p.conns.observe, ConnContext: withConn}
	connlimit.Track(s)
	return &endpoint{name: name, listener: l, server: s, forCallers: true}
}

// connCounter counts the open connections of an endpoint.
type connCounter struct {
	open atomic.Int64
	// limit is the number of connections above which they are not kept alive.
	limit atomic.Int64
}

// observe is a server's ConnState hook.
func (c *connCounter) observe(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateActive:
		if admitted, ok := conn.(*admission.Conn); ok {
			admitted.ReleaseReadSlot()
		}
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// overLimit reports whether more connections are open than should be kept alive.
//
// Callers open a new connection for each retry and keep the old ones. If the router kept them
// too, thousands of idle connections would exhaust its file descriptors, new callers would wait
// for seconds to be accepted, and the memory of hundreds of requests would be lost. A response
// that announces the close ends its connection without a race with the next request.
func (c *connCounter) overLimit() bool { return c.open.Load() > c.limit.Load() }
