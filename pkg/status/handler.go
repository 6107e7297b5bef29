package status

import (
	_ "embed"
	"encoding/json"
	"html/template"
	"net/http"
	"net/http/pprof"

	"github.com/apex/log"
	"github.com/gorilla/mux"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("status").Parse(pageText))

// Paths of the handler.
const (
	PathJSON    = "/status"
	PathMetrics = "/metrics"
	// PathProfile is where profiles of the process are taken, if that is switched on.
	PathProfile = "/debug/pprof/"
)

// Handler serves the newest status as JSON on PathJSON and as a page on /, and metrics on
// PathMetrics.
func Handler(current func() Status, metrics http.Handler, l log.Interface) http.Handler {
	r := mux.NewRouter()
	r.Handle(PathMetrics, metrics).Methods(http.MethodGet)
	r.HandleFunc(PathJSON, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		unsent(l, json.NewEncoder(w).Encode(current()))
	}).Methods(http.MethodGet)
	r.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		unsent(l, page.Execute(w, current()))
	}).Methods(http.MethodGet)
	return r
}

// WithProfiles adds the runtime's profiles of the process to h.
func WithProfiles(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc(PathProfile, pprof.Index)
	mux.HandleFunc(PathProfile+"profile", pprof.Profile)
	return mux
}

// unsent logs an answer that could not be sent; its reader is usually gone.
func unsent(l log.Interface, err error) {
	if err != nil {
		l.WithError(err).WithField("event", "status_unsent").Debug("status could not be sent")
	}
}
