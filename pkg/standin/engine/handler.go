package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/flamingowind/flamingowind/pkg/standin/reply"
)

// Paths with an attempt's ID, which may hold slashes.
const (
	streamPath = "/v1/streams/{attempt:.+}"
	kvPath     = "/v1/kv/{attempt:.+}"
)

// Handler returns the HTTP face described in docs/DESIGN.md.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc(streamPath, e.resume).Methods(http.MethodGet)
	m.HandleFunc(streamPath, e.cancelStream).Methods(http.MethodDelete)
	m.HandleFunc("/v1/load", e.getLoad).Methods(http.MethodGet)
	m.HandleFunc("/v1/state", e.getState).Methods(http.MethodGet)
	m.HandleFunc("/v1/orders", e.postOrder).Methods(http.MethodPost)
	m.HandleFunc("/v1/cache/events", e.getCacheEvents).Methods(http.MethodGet)
	m.HandleFunc(kvPath, e.exportKV).Methods(http.MethodGet)
	m.HandleFunc("/v1/kv", e.importKV).Methods(http.MethodPut)
	m.HandleFunc("/healthz", e.getHealth).Methods(http.MethodGet)
	m.HandleFunc("/admin/faults", e.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/admin/faults", e.getFaults).Methods(http.MethodGet)
	m.HandleFunc("/admin/journal", e.getJournal).Methods(http.MethodGet)
	return e.whileUp(m)
}

// whileUp breaks off all calls of a crashed engine, but for its test switches: they
// belong to the observer. (On its own address a crashed engine refuses even these.)
func (e *Engine) whileUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() && !isAdmin(r) {
			reply.BreakOff()
		}
		next.ServeHTTP(w, r)
	})
}

func isAdmin(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/admin/")
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		reply.Error(w, http.StatusBadRequest, "from must be the number of an event")
		return
	}
	a, watcher, known := e.find(mux.Vars(r)["attempt"])
	if !known {
		reply.Error(w, http.StatusNotFound, "no such attempt")
		return
	}
	defer e.leave(a, watcher)
	if from >= a.total+2 {
		reply.Error(w, http.StatusRequestedRangeNotSatisfiable, "the stream has no such event")
		return
	}
	setAttempt(w, a)
	newStream(w, a, from).run(r.Context(), watcher)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	if !e.cancelByID(mux.Vars(r)["attempt"]) {
		reply.Error(w, http.StatusNotFound, "no such attempt")
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) getHealth(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.sampleLoad()
	load := e.load.shown
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, load)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := e.events.published(after, time.Now())
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, CacheEventList{Events: events})
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !reply.DecodeStrict(w, r, &f) {
		return
	}
	e.SetFaults(f)
	reply.JSON(w, http.StatusOK, f)
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, e.currentFaults())
}
