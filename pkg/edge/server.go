package edge

import (
	"net"
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

// Server makes the HTTP server for callers, with its limits of time and size.
func (e *Edge) Server() *http.Server {
	s := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: e.Limits.BodyTimeout,
		IdleTimeout:       e.Limits.IdleTimeout,
		MaxHeaderBytes:    e.Limits.MaxHeader,
		ConnContext:       withConn,
	}
	connlimit.Track(s)
	return s
}

// Listener bounds the callers' connections of l: further ones wait in the kernel's
// queue until there is room for them, so that they cost this process no memory.
func (e *Edge) Listener(l net.Listener) net.Listener { return e.conns.Listen(listener{l}) }

// unfinishedShare is the part of the callers' connections whose requests may be unfinished: 1/unfinishedShare.
const unfinishedShare = 4

func newConns(l Limits, heads *buffers.Budget) *connlimit.Group {
	return connlimit.NewGroup(connlimit.Limits{Open: l.MaxConnections, Unfinished: max(1, l.MaxConnections/unfinishedShare)}, heads)
}

// Heads returns the account of the heads of requests that are held.
func (e *Edge) Heads() *buffers.Budget { return e.heads }
