package forward

import (
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Call is one attempt to have a request answered by one instance.
type Call struct {
	Instance *upstream.Instance
	Method   string
	// URI is the request target as the caller wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is what the answer must carry under the pools' id header.
	RequestID string
	// Wanted is asked just before the first byte is sent; when it says no, none is. Nil for
	// always.
	Wanted func() bool
	// Abort ends the call at once; nil for none.
	Abort *Abort
}
