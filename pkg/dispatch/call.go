package dispatch

import (
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Call is the request to send. It isn't modified.
type Call struct {
	Method string
	// Path, in its escaped form, is appended to the upstream's base URL; Query follows it.
	Path  string
	Query string
	// Header holds end-to-end headers without the caller's credentials.
	Header http.Header
	Body   []byte
	// Model says that the upstream is a model engine: responses are JSON or server-sent events,
	// their tokens are counted, and a running attempt can be canceled.
	Model bool
	// Stream asks for server-sent events.
	Stream bool
	// CanResume reports whether the upstream can resume a broken stream; nil means that none can.
	CanResume func(upstream string) bool
	// Units is the cost of a call of a plain service.
	Units wire.Units
	// OnEventGap, if not nil, is called with the time between two events of a stream.
	OnEventGap func(time.Duration)
}

func (c *Call) resumes(upstream string) bool {
	return c.CanResume != nil && c.CanResume(upstream)
}
