package edge

import "time"

// Limits bound what callers can make a router hold.
type Limits struct {
	MaxBody        int64         // bytes of a request body
	MaxBodies      int64         // bytes of all request bodies held at once; one organisation gets a quarter
	MaxHeader      int           // bytes of a request's headers
	MaxHeads       int64         // memory of all headers held at once, in bytes
	MaxResponses   int64         // memory of all upstreams' responses held at once, in bytes
	MaxConnections int           // callers' connections
	MaxQueued      int           // waiting requests, all organisations
	BodyTimeout    time.Duration // longest time for sending headers, and then for the body
	WriteTimeout   time.Duration // longest time for which a caller may take nothing
	IdleTimeout    time.Duration // longest time of a kept-alive connection without a request
	RequestTimeout time.Duration // deadline of requests that give none
	MaxDeadline    time.Duration // largest deadline that a request may give
	RetryShare     float64       // the system's own retries, as a share of requests
}

// DefaultLimits fit a small entry host.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:        1 << 20,
		MaxBodies:      16 << 20,
		MaxHeader:      32 << 10,
		MaxHeads:       16 << 20,
		MaxResponses:   16 << 20,
		MaxConnections: 4096,
		MaxQueued:      4096,
		BodyTimeout:    10 * time.Second,
		WriteTimeout:   20 * time.Second,
		IdleTimeout:    2 * time.Minute,
		RequestTimeout: time.Minute,
		MaxDeadline:    15 * time.Minute,
		RetryShare:     0.1,
	}
}
