package gatewayd

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Bounds of the servers' connections.
const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any configured one: a connection that is closed while a
	// caller sends on it costs that request, an idle one only a few kilobytes.
	idleTimeout = 5 * time.Minute
	// maxHeader bounds a request's head, in bytes.
	maxHeader = 64 << 10
)

// face is one address that the process serves.
type face struct {
	name   string
	server *http.Server
	listen net.Listener
}

func newFace(name, addr string, h http.Handler) (*face, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", name)
	}
	return &face{name: name, listen: l, server: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}}, nil
}
