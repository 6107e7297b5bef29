package fleet

import (
	"io"
	"net/http"

	"github.com/gorilla/mux"
)

// Handler takes other routers' reports.
func (f *Fleet) Handler() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc(Path, f.take).Methods(http.MethodPost)
	r.HandleFunc(CatalogPath, f.give).Methods(http.MethodPost)
	return r
}

func (f *Fleet) give(w http.ResponseWriter, in *http.Request) {
	ask := new(CatalogAsk)
	if f.open(w, in, ask) {
		f.answer(w, f.local.Catalog(*ask))
	}
}

func (f *Fleet) take(w http.ResponseWriter, in *http.Request) {
	report := new(Report)
	if !f.open(w, in, report) {
		return
	}
	f.incoming(report)
	f.mu.Lock()
	p := f.peers[report.From.Peers]
	f.mu.Unlock()
	if p == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	f.answer(w, f.outgoing(p, len(report.Others) > 0))
}

// open reads a sealed message; when it returns false the answer has been given.
func (f *Fleet) open(w http.ResponseWriter, in *http.Request, v any) bool {
	secret := f.Secret()
	if secret == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	data, err := io.ReadAll(io.LimitReader(in.Body, maxMessage))
	if err != nil {
		return false // the peer broke off; it sends its next report anyway
	}
	if err := decode(data, secret, v); err != nil {
		f.log.WithError(err).WithField("event", "report_refused").WithField("from", in.RemoteAddr).Warn("message refused")
		w.WriteHeader(http.StatusForbidden)
		return false
	}
	return true
}

func (f *Fleet) answer(w http.ResponseWriter, v any) {
	data, err := encode(v, f.Secret())
	if err != nil {
		f.log.WithError(err).WithField("event", "report_unsent").Error("report can't be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A peer that is gone asks again.
	_, _ = w.Write(data)
}
