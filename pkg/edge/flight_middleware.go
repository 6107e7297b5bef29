package edge

import (
	"net/http"

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
	if !m.edge.flight.enter() {
		m.edge.refuse(w, errDraining(), "", "")
		return
	}
	defer m.edge.flight.leave()
	if err := m.edge.Gate.Admit(); err != nil {
		w.Header().Set("Connection", "close")
		m.edge.refuse(w, verdict.From(err), "", "")
		return
	}
	m.next.ServeHTTP(w, r)
}

func errDraining() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeDraining, "this router is leaving; use another address")
}
