package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// entriesHandler tells callers which addresses to use; it needs no key.
type entriesHandler struct{ edge *Edge }

type entriesBody struct {
	Entries     []string `json:"entries"`
	KeepSeconds int64    `json:"keepSeconds"`
}

// ServeHTTP answers with addresses, the best first.
func (h *entriesHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	addrs, keep := h.edge.Entries.For(query.Get("org"), query.Get("model"))
	if addrs == nil {
		addrs = []string{}
	}
	body, _ := json.Marshal(entriesBody{Entries: addrs, KeepSeconds: int64(keep / time.Second)})
	h.edge.write(w, http.StatusOK, "application/json", verdict.Ran, body)
}
