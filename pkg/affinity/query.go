package affinity

// Query asks at which version a stream began.
type Query struct {
	Organisation string
	// FirstAttempt is the request ID of the attempt that brought the first event; empty if the
	// caller names none.
	FirstAttempt string
	// Services are those of the stream's route, Service the one that an attempt of this name uses.
	Services []string
	Service  string
}

// Question is a query to another router.
type Question struct {
	// Key is 0 when the caller names no attempt.
	Key     Key    `cbor:"1,keyasint,omitempty"`
	Service string `cbor:"2,keyasint,omitempty"`
}

// Reply answers a question. Version is 0 where the version isn't known; Recorded says that a record
// names it, otherwise it is the sole version of the service.
type Reply struct {
	Version  VersionID `cbor:"1,keyasint,omitempty"`
	Recorded bool      `cbor:"2,keyasint,omitempty"`
}
