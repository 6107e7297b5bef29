// Package upstream holds the running instances of services.
package upstream

// State is what an instance says of itself.
type State string

const (
	// Ready instances take new requests.
	Ready State = "ready"
	// Draining instances finish what they run and leave.
	Draining State = "draining"
)

// ID names one run of an upstream's process; a restart has another.
type ID string

// Instance is one running upstream.
type Instance struct {
	ID      ID
	Service string
	// Addr is IP:port.
	Addr     string
	Zone     string
	Software string
	// Slots is how many requests it runs at once.
	Slots int
	State State
}
