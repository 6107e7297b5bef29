package fleet

// Member is a router's description of itself. It is stored as JSON under the Go names of its
// fields.
type Member struct {
	Name string `cbor:"1,keyasint"`
	// Peers is the address for other routers, Callers the one for callers.
	Peers   string `cbor:"2,keyasint"`
	Callers string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Started identifies a life of the router, the time from its start to its end: the start time
	// in nanoseconds since 1970 by the host's wall clock. That clock may jump, so the larger
	// value is the newer one only among two that arrive at about the same time.
	Started int64 `cbor:"5,keyasint"`
	// Power is the router's CPU in cores; 0 when it is not known.
	Power float64 `cbor:"6,keyasint,omitempty"`
	// Handover is the address for connections that other routers pass on; empty for none.
	Handover string `cbor:"7,keyasint,omitempty" json:",omitempty"`
}
