package gateway

import "time"

// Peers are the routers that share the work.
type Peers interface {
	// Count is how many they are, this one included.
	Count() int
	// Use notes that this router got a request.
	Use(now time.Time)
}
