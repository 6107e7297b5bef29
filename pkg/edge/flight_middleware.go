package edge

import (
	"net/http"

	"github.com/flamingowind/flamingowind/internal/unread"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// flightMiddleware counts requests and refuses them when the router isn't fit to serve.
type flightMiddleware struct {
	edge *Edge
	next http.Handler
}

func newFlightMiddleware(e *Edge, next http.Handler) *flightMiddleware {
	return &flightMiddleware{edge: e, next: next}
}

// ServeHTTP passes the request on, or refuses it as not run.
func (m *flightMiddleware) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	closeUnlessRead(w, r)
	m.serve(w, r)
	discardUnread(w, r)
}

func (m *flightMiddleware) serve(w http.ResponseWriter, r *http.Request) {
	if !m.edge.flight.enter() {
		m.edge.refuseEarly(w, errDraining())
		return
	}
	defer m.edge.flight.leave()
	if err := m.edge.Gate.Admit(); err != nil {
		w.Header().Set("Connection", "close")
		m.edge.refuseEarly(w, notRun(err))
		return
	}
	m.next.ServeHTTP(w, r)
}

// closeUnlessRead guards against callers that announce a body and don't send it: before
// an answer net/http reads the rest of the body, to use the connection again, so that a
// refusal would wait for the sender and hold a goroutine. An answer that closes the
// connection goes out at once. keepAlive takes the mark back when the body was read.
func closeUnlessRead(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}

// discardUnread reads what the caller of a refused request still sends.
func discardUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 && w.Header().Get("Connection") == "close" {
		unread.Discard(w, r)
	}
}

func keepAlive(w http.ResponseWriter) { w.Header().Del("Connection") }

func errDraining() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeDraining, "this router is leaving; use another address")
}
