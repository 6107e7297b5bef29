package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

const (
	// maxServerDiscard is the size, in bytes, up to which net/http reads the rest of a body that its handler
	// leaves. It closes the connection on a longer rest.
	maxServerDiscard = 256 << 10
	// lingerTimeout bounds how long the rest of a refused body is read, lingerBytes how much of it.
	lingerTimeout = 5 * time.Second
	lingerBytes   = 64 << 20
)

// refuseUnread refuses a request at once, and then reads what its caller still sends.
//
// Guard: closing a connection with unread bytes resets it, and the caller would lose the refusal.
func (r *request) refuseUnread(e *verdict.Error) {
	r.releaseBody()
	h := r.w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Length", strconv.Itoa(len(errorText(e))))
	writeError(r.w, e)
	control := http.NewResponseController(r.w)
	if control.Flush() != nil || strings.EqualFold(r.in.Header.Get("Expect"), "100-continue") {
		return
	}
	if control.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// After an error nobody is left to read for.
		_, _ = io.CopyN(io.Discard, r.in.Body, lingerBytes)
	}
}
