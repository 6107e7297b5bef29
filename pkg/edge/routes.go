package edge

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

func (e *Edge) routes() *mux.Router {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.Handle("/healthz", &health{}).Methods(http.MethodGet, http.MethodHead)
	r.Handle("/readyz", &ready{edge: e}).Methods(http.MethodGet, http.MethodHead)
	r.Handle("/v1/entries", &entriesHandler{edge: e}).Methods(http.MethodGet)
	r.Handle("/v1/models", e.guarded(&modelsHandler{edge: e})).Methods(http.MethodGet)
	r.Handle("/v1/completions", e.guarded(&modelHandler{edge: e})).Methods(http.MethodPost)
	r.Handle("/v1/chat/completions", e.guarded(&modelHandler{edge: e})).Methods(http.MethodPost)
	r.Handle("/services/{name:[^/]+}", e.guarded(&serviceHandler{edge: e}))
	r.Handle("/services/{name:[^/]+}/{rest:.*}", e.guarded(&serviceHandler{edge: e}))
	r.NotFoundHandler = &fixedRefusal{e, verdict.New(verdict.NotRun, http.StatusNotFound, verdict.CodeNotFound, "no such path")}
	r.MethodNotAllowedHandler = &fixedRefusal{e, verdict.New(verdict.NotRun, http.StatusMethodNotAllowed, verdict.CodeBadRequest, "this path doesn't take that method")}
	return r
}

// guarded puts the checks common to all requests that need a key before h.
func (e *Edge) guarded(h callHandler) http.Handler {
	return newFlightMiddleware(e, newAuthMiddleware(e, h))
}

type fixedRefusal struct {
	edge *Edge
	err  *verdict.Error
}

// ServeHTTP refuses.
func (f *fixedRefusal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	closeUnlessRead(w, r)
	f.edge.refuse(w, f.err, "", "")
	discardUnread(w, r)
}
