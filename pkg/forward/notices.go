package forward

import (
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Notices decodes what responses say about their upstreams, and acts on it.
type Notices struct {
	// Decode returns the notice in the head of a response.
	Decode func(status int, h http.Header) upstream.Notice
	// Observe receives each notice that isn't empty as soon as the head is read, before Do returns: later
	// attempts, also those of requests that are waiting, must be decided with it.
	Observe func(in *upstream.Instance, n upstream.Notice)
}

// OnNotices sets what is done with notices. It must be called before the first call.
func (ps *Pools) OnNotices(n Notices) { ps.notices = n }

// observe decodes the notice of a response to a call to in, and passes it on.
func (n Notices) observe(in *upstream.Instance, r *Response) {
	if n.Decode == nil {
		return
	}
	r.Notice = n.Decode(r.Status, r.Header)
	if !r.Notice.Empty() {
		n.Observe(in, r.Notice)
	}
}
