package edge

import (
	"net"
	"net/http"

	"golang.org/x/net/netutil"
)

// Server makes the HTTP server for callers, with its limits of time and size.
func (e *Edge) Server() *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: e.Limits.BodyTimeout,
		IdleTimeout:       e.Limits.IdleTimeout,
		MaxHeaderBytes:    e.Limits.MaxHeader,
		ConnContext:       withConn,
	}
}

// Listener bounds the callers' connections of l: further ones wait in the kernel's
// queue until one closes, so that they cost this process no memory.
func (e *Edge) Listener(l net.Listener) net.Listener {
	return netutil.LimitListener(listener{l}, e.Limits.MaxConnections)
}
