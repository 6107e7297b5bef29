package dispatch

import (
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Call is the request to send. It is only read.
type Call struct {
	Method string
	// Path is appended to the upstream's base URL, in its escaped form; Query follows it.
	Path  string
	Query string
	// Header holds end-to-end headers without the caller's credentials.
	Header http.Header
	Body   []byte
	// Model says that the upstream is a model engine: answers are JSON or server-sent
	// events, their tokens are counted, and a running attempt can be cancelled.
	Model bool
	// Stream asks for server-sent events.
	Stream bool
	// Resumes says whether the upstream can resume a broken stream; nil means none can.
	Resumes func(upstream string) bool
	// Units is the service charged for a call of a plain service.
	Units wire.Units
	// Gap, when set, gets the time between two events of a stream.
	Gap func(time.Duration)
}

func (c *Call) resumes(upstream string) bool {
	return c.Resumes != nil && c.Resumes(upstream)
}
