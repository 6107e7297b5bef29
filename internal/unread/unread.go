// Package unread ends requests whose handlers leave the body, without losing the response.
package unread

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// MaxServerDiscard is the size, in bytes, up to which net/http reads the rest of a body that its handler
	// leaves. It closes the connection on a longer rest.
	MaxServerDiscard = 256 << 10
	// Timeout bounds how long the rest of a body is read, maxBytes how much of it.
	Timeout  = 5 * time.Second
	maxBytes = 64 << 20
)

// Drain sends the response, which must announce the connection's close, and reads what the caller still sends.
//
// Guard: closing a connection with unread bytes resets it, and a caller that is still sending would lose the
// response.
func Drain(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return
	}
	if control.SetReadDeadline(time.Now().Add(Timeout)) == nil {
		_, _ = io.CopyN(io.Discard, r.Body, maxBytes) // after an error nobody sends any more
	}
}
