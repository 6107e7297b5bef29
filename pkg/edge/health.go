package edge

import (
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// health answers that the process lives.
type health struct{}

// ServeHTTP answers ok.
func (*health) ServeHTTP(w http.ResponseWriter, _ *http.Request) { ok(w) }

// ready answers whether this router accepts requests.
type ready struct{ edge *Edge }

// ServeHTTP answers ok, or refuses as the requests would be.
func (h *ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if _, draining := h.edge.flight.state(); draining {
		h.edge.refuse(w, errDraining(), "", "")
		return
	}
	if err := h.edge.Gate.Admit(); err != nil {
		h.edge.refuse(w, notRun(err), "", "")
		return
	}
	if h.edge.Source.Current() == nil {
		h.edge.refuse(w, errNoConfig(), "", "")
		return
	}
	ok(w)
}

func ok(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set(verdict.Header, verdict.Ran.String())
	_, _ = w.Write([]byte("ok\n"))
}
