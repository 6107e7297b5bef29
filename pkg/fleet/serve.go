package fleet

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

// maxRequestDelay is how long a request usually is in flight at most: links take a few
// milliseconds, and a busy router some tens.
const maxRequestDelay = 200 * time.Millisecond

// Handler serves the requests of other routers.
func (f *Fleet) Handler() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc(Path, f.serveReport).Methods(http.MethodPost)
	r.HandleFunc(SecretPath, f.serveSecret).Methods(http.MethodGet)
	r.HandleFunc(CatalogPath, f.serveCatalog).Methods(http.MethodPost)
	r.HandleFunc(StreamPath, f.serveStream).Methods(http.MethodPost)
	r.HandleFunc(BookingPath, f.serveBooking).Methods(http.MethodPost)
	return r
}

func (f *Fleet) serveCatalog(w http.ResponseWriter, in *http.Request) {
	req := new(CatalogRequest)
	if f.readMessage(w, in, req) {
		f.writeMessage(w, f.local.Catalog(*req))
	}
}

func (f *Fleet) serveReport(w http.ResponseWriter, in *http.Request) {
	report := new(Report)
	if !f.readMessage(w, in, report) {
		return
	}
	f.handleReport(report, f.requestSentAfter(report, time.Now()))
	f.mu.Lock()
	p := f.peers[report.From.Peers]
	f.mu.Unlock()
	if p == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	f.writeMessage(w, f.response(p, report))
}

// serveSecret sends the secret to a router that restarts during a store outage.
//
// Without the secret that router could take no configuration from its peers, and would refuse all
// callers until the store is back. Requests are authorised by their IP address: only addresses
// known from the store or from authenticated reports are answered.
func (f *Fleet) serveSecret(w http.ResponseWriter, in *http.Request) {
	secret := f.Secret()
	host, _, err := net.SplitHostPort(in.RemoteAddr)
	if err != nil || secret == nil || !f.knowsIP(host) {
		f.log.WithField("event", "secret_refused").WithField("from", in.RemoteAddr).Warn("refused a request for the secret")
		w.WriteHeader(http.StatusForbidden)
		return
	}
	f.log.WithField("event", "secret_handed").WithField("to", in.RemoteAddr).Info("sent the secret to a known router")
	_, _ = w.Write(secret) // a router that disconnected asks again
}

// knowsIP reports whether a known router has an IP address. Seeds count only once their name is
// known.
func (f *Fleet) knowsIP(ip string) bool {
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

// readMessage reads an authenticated message; when it returns false the request is finished.
func (f *Fleet) readMessage(w http.ResponseWriter, in *http.Request, v any) bool {
	secret := f.Secret()
	if secret == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	control := http.NewResponseController(w)
	// Only writers in tests lack deadlines, so the error is ignored.
	_ = control.SetReadDeadline(time.Now().Add(f.readTimeout))
	lease := f.buffers.Lease()
	defer lease.Release()
	data, extent, err := lease.Read(in.Body, maxMessageBytes, 0)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		f.refuseUnread(w, in, http.StatusRequestTimeout, "message not received in time")
		return false
	}
	if err != nil {
		return false // the peer disconnected; it sends its next report anyway
	}
	connlimit.FromContext(in.Context()).RequestRead()
	// With the deadline left in place, the server would take the sender for gone while it is being answered.
	_ = control.SetReadDeadline(time.Time{})
	if extent != buffers.Whole {
		f.refuseUnread(w, in, http.StatusRequestEntityTooLarge, "message too large, or no memory left for it")
		return false
	}
	if err := decode(data, secret, v); err != nil {
		f.log.WithError(err).WithField("event", "report_refused").WithField("from", in.RemoteAddr).Warn("refused a message that can't be authenticated or decoded")
		w.WriteHeader(http.StatusForbidden)
		return false
	}
	return true
}

// refuseUnread refuses a message that was not read to its end, and closes its connection.
func (f *Fleet) refuseUnread(w http.ResponseWriter, in *http.Request, status int, reason string) {
	f.log.WithField("event", "report_refused").WithField("from", in.RemoteAddr).WithField("error", reason).Warn("refused a message unread")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

func (f *Fleet) writeMessage(w http.ResponseWriter, v any) {
	data, err := encode(v, f.Secret())
	if err != nil {
		f.log.WithError(err).WithField("event", "report_unsent").Error("can't encode the answer")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A peer that is gone asks again.
	_, _ = w.Write(data)
}
