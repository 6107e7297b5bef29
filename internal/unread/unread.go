// Package unread reads what callers still send of requests that were refused.
package unread

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// Timeout bounds how long the rest of a refused body is read, maxBytes how much of it.
	Timeout  = 5 * time.Second
	maxBytes = 64 << 20
)

// Discard sends the answer that was written, which must close the connection, and then reads the rest of the
// request's body. It returns at once where the body was read to its end.
//
// Guard: closing a connection with unread bytes resets it, and the caller would lose the answer.
func Discard(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return
	}
	if control.SetReadDeadline(time.Now().Add(Timeout)) == nil {
		// After an error nobody is left to read for.
		_, _ = io.CopyN(io.Discard, r.Body, maxBytes)
	}
}
