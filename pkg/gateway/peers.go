package gateway

import "time"

// Peers are the routers that share the work.
type Peers interface {
	// Count returns the number of routers, including this one.
	Count() int
	// NoteRequest notes that this router received a request.
	NoteRequest(now time.Time)
}
