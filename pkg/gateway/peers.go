package gateway

import "time"

// Peers are the routers that share the work.
type Peers interface {
	// Count is how many they are, this one included.
	Count() int
	// NoteRequest notes that this router got a request.
	NoteRequest(now time.Time)
}
