package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"
)

type entryKey struct{}

// tracked is a connection with an entry in a group.
type tracked interface{ Entry() *Entry }

// Track makes a server tell the entries of its connections about their requests. It keeps the server's own hooks.
func Track(s *http.Server) {
	observe, withOwn := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if t, ok := c.(tracked); ok {
			t.Entry().observe(state)
		}
		if observe != nil {
			observe(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if withOwn != nil {
			ctx = withOwn(ctx, c)
		}
		if t, ok := c.(tracked); ok {
			return context.WithValue(ctx, entryKey{}, t.Entry())
		}
		return ctx
	}
}

// FromContext returns the entry of a request's connection, nil if it has none.
func FromContext(ctx context.Context) *Entry {
	e, _ := ctx.Value(entryKey{}).(*Entry)
	return e
}

// discardTimeout is how long the server goes on reading a body that nobody needs.
const discardTimeout = time.Second

// WithoutBodies returns a handler for requests that need no body. One that has a body is answered at once, and its connection
// closed soon: the server would otherwise wait for the rest of the body.
func WithoutBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			// It fails on a closed connection, of which nothing is read.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
		} else {
			FromContext(r.Context()).RequestRead()
		}
		h.ServeHTTP(w, r)
	})
}
