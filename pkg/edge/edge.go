package edge

import (
	"net/http"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/internal/unread"
	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/sched"
)

// Config holds what an Edge works with.
type Config struct {
	Limits     Limits
	Source     Source
	Gate       Gate
	Scheduler  sched.Scheduler
	Dispatcher *dispatch.Dispatcher
	Entries    Entries
	Guard      Guard         // nil: calls that may not be repeated are refused
	Suspects   Suspects      // may be nil
	Observer   Observer      // may be nil
	Log        log.Interface // may be nil
}

// Edge serves callers.
type Edge struct {
	Config
	// limits are those in force; Config has the ones at the start.
	limits atomic.Pointer[Limits]
	queue  *admission
	bodies *bodyBudget
	// heads is the memory for the heads of requests, conns the callers' connections.
	heads  *buffers.Budget
	conns  *connlimit.Group
	budget *retryBudget
	flight *flight
	router *mux.Router
}

// New makes an Edge.
func New(c Config) *Edge {
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	if c.Log == nil {
		c.Log = log.Log
	}
	e := &Edge{
		Config: c,
		queue:  newAdmission(c.Limits.MaxQueued),
		bodies: newBodyBudget(c.Limits.MaxBodies),
		heads:  buffers.NewBudget(c.Limits.MaxHeads),
		budget: newRetryBudget(c.Limits.RetryShare),
		flight: new(flight),
	}
	e.conns = newConns(c.Limits, e.heads)
	e.limits.Store(&c.Limits)
	e.router = e.routes()
	return e
}

// ServeHTTP answers one request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
	if r.ContentLength > unread.MaxServerDiscard && w.Header().Get("Connection") == "close" {
		unread.Drain(w, r)
	}
}
