package gateway

import (
	"strconv"

	"github.com/flamingowind/flamingowind/internal/unread"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// maxServerDiscard is the size, in bytes, up to which net/http reads the rest of a body that its handler
// leaves. It closes the connection on a longer rest.
const maxServerDiscard = 256 << 10

// refuseUnread refuses a request at once, and then reads what its caller still sends.
func (r *request) refuseUnread(e *verdict.Error) {
	r.releaseBody()
	h := r.w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Length", strconv.Itoa(len(errorText(e))))
	writeError(r.w, e)
	unread.Discard(r.w, r.in)
}
