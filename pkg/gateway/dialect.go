package gateway

import (
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// RequestMetadata is what a caller's headers say.
type RequestMetadata struct {
	// RequestID identifies this attempt of the caller.
	RequestID string
	// APIKey is the caller's API key; empty if it sent none.
	APIKey string
	// Deadline is how long the caller waits for the response; 0 if it doesn't say.
	Deadline time.Duration
	// LastEventID is the ID of the last stream event that the caller has received; Resumes is
	// whether the caller named one.
	LastEventID int64
	Resumes     bool
	// FirstAttempt is the RequestID of the caller's attempt that brought the stream's first event;
	// empty if the caller names none.
	FirstAttempt string
	// Prompt is set when the caller describes work for a model engine.
	Prompt *prompt.Prompt
}

// AttemptMetadata is what the gateway tells an upstream in addition to the caller's own headers.
type AttemptMetadata struct {
	Instance     upstream.ID
	Organisation string
	// FetchFrom is the address of an engine from which KV cache is fetched; empty for none.
	FetchFrom string
	// TimeLeft is how long the gateway still waits for the response.
	TimeLeft time.Duration
	// LastEventID is the ID of the event after which a stream resumes; it counts only if Resumes is set.
	LastEventID int64
	Resumes     bool
}

// Dialect translates headers of callers and upstreams.
type Dialect interface {
	// DecodeRequest decodes a caller's headers.
	DecodeRequest(h http.Header) RequestMetadata
	// UpstreamHeader returns the headers for an upstream: the caller's, without hop-by-hop headers and
	// without those that only the gateway may set, plus those for e.
	UpstreamHeader(h http.Header, e AttemptMetadata) http.Header
	// NotRun reports whether an upstream's response says that it did not run the request.
	NotRun(status int, h http.Header) bool
	// Notice returns what the head of an upstream's response says about the upstream.
	Notice(status int, h http.Header) upstream.Notice
	// LifeCheck returns how an upstream is asked which process it is; without a URI, it can't be asked.
	LifeCheck() forward.LifeCheck
	// IDHeader returns the name of the header in which callers send, and upstreams echo, a request's ID.
	IDHeader() string
	// ProofHeader returns the name of the header by which a successful (2xx) response proves that its upstream ran
	// the request; empty for none.
	ProofHeader() string
}
