package forward

import (
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Call is one attempt to send a request to one instance.
type Call struct {
	Instance *upstream.Instance
	Method   string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is the ID that the response must carry in the pools' ID header.
	RequestID string
	// StillWanted is called just before the first byte is sent; if it returns false, nothing is sent.
	// Nil means that the call is always wanted.
	StillWanted func() bool
	// Abort, if not nil, can cancel the call at any time.
	Abort *Abort
}
