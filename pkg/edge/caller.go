package edge

import (
	"net/http"
	"time"
)

// caller is what is known of a request's sender, and the version the request runs under.
type caller struct {
	org      Org
	catalog  Catalog
	received time.Time
}

// callHandler answers requests of authenticated callers.
type callHandler interface {
	serve(w http.ResponseWriter, r *http.Request, c caller)
}
