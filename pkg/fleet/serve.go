package fleet

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// mostUnderWay is how long a question usually is under way at most: links take a few
// milliseconds, and a busy router some tens.
const mostUnderWay = 200 * time.Millisecond

// Handler takes other routers' reports.
func (f *Fleet) Handler() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc(Path, f.take).Methods(http.MethodPost)
	r.HandleFunc(SecretPath, f.hand).Methods(http.MethodGet)
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
	f.incoming(report, f.madeAfter(report, time.Now()))
	f.mu.Lock()
	p := f.peers[report.From.Peers]
	f.mu.Unlock()
	if p == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	f.answer(w, f.reply(p, report))
}

// hand gives the secret to a router that starts again while the store is away.
//
// Guard: without the secret that router could take no configuration from its peers, and
// would refuse all its callers until the store is back. It is told by its address: only
// addresses that are known from the store or from sealed reports are answered.
func (f *Fleet) hand(w http.ResponseWriter, in *http.Request) {
	secret := f.Secret()
	host, _, err := net.SplitHostPort(in.RemoteAddr)
	if err != nil || secret == nil || !f.knows(host) {
		f.log.WithField("event", "secret_refused").WithField("from", in.RemoteAddr).Warn("secret is not handed out")
		w.WriteHeader(http.StatusForbidden)
		return
	}
	f.log.WithField("event", "secret_handed").WithField("to", in.RemoteAddr).Info("secret handed to a known router")
	_, _ = w.Write(secret) // a router that is gone asks again
}

// knows reports whether a router lives, or lately lived, at an IP address. Seeds count
// only once they were heard of.
func (f *Fleet) knows(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		host, _, err := net.SplitHostPort(p.member.Peers)
		if err == nil && host == ip && p.member.Name != "" {
			return true
		}
	}
	return false
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
