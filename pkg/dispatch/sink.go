package dispatch

import "net/http"

// Sink writes a stream to the caller.
type Sink interface {
	// Begin is called once, before the first Write.
	Begin(status int, header http.Header)
	// Write sends p to the caller before it returns; p is not valid afterwards. An error means
	// that the caller has disconnected.
	Write(p []byte) error
}
