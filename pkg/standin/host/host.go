// Package host serves a stand-in upstream on its address and lets it crash: the
// listener and all connections go away at once, and come back later.
package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// stopWithin is how long requests may go on after a stop.
	stopWithin = 500 * time.Millisecond
)

// Host serves one handler on one address.
type Host struct {
	name    string
	addr    string
	handler http.Handler
	crashes chan time.Duration

	readyOnce sync.Once
	ready     chan struct{}
}

// New returns a host for addr; a port of 0 is chosen once and kept over crashes.
func New(name, addr string, handler http.Handler) *Host {
	return &Host{
		name:    name,
		addr:    addr,
		handler: handler,
		crashes: make(chan time.Duration, 1),
		ready:   make(chan struct{}),
	}
}

// Crash closes the listener and all connections, and listens again after revive. It
// doesn't wait. A second crash before the first took effect is the same crash.
func (h *Host) Crash(revive time.Duration) {
	select {
	case h.crashes <- revive:
	default:
	}
}

// Ready is closed once the host listens; Addr is valid from then on.
func (h *Host) Ready() <-chan struct{} { return h.ready }

// Addr returns the address that the host listens on.
func (h *Host) Addr() string { return h.addr }

// Run serves until ctx ends, through all crashes.
func (h *Host) Run(ctx context.Context) error {
	for {
		revive, err := h.life(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		log.WithFields(log.Fields{"name": h.name, "addr": h.addr, "revive": revive}).Warn("crashed")
		if !wait(ctx, revive) {
			return nil
		}
	}
}

// life serves until a crash, whose revive time it returns, or until ctx ends.
func (h *Host) life(ctx context.Context) (time.Duration, error) {
	listener, err := net.Listen("tcp", h.addr)
	if err != nil {
		return 0, errors.Annotatef(err, "listen for %s", h.name)
	}
	h.markReady(listener.Addr().String())
	server := &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return 0, errors.Annotatef(err, "serve %s", h.name)
	case revive := <-h.crashes:
		_ = server.Close() // breaking off is the aim
		<-served
		return revive, nil
	case <-ctx.Done():
		stop(server)
		<-served
		return 0, nil
	}
}

func (h *Host) markReady(addr string) {
	h.readyOnce.Do(func() {
		h.addr = addr
		close(h.ready)
		log.WithFields(log.Fields{"name": h.name, "addr": addr}).Info("listening")
	})
}

func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // what is still running is broken off
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
