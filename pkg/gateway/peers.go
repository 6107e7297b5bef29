package gateway

import "time"

// Peers are the routers that share the work.
type Peers interface {
	// Count returns the number of routers, including this one.
	Count() int
	// Use notes that this router received a request.
	Use(now time.Time)
}
