// Package upstream describes the running instances of services and tracks their health.
package upstream

import "time"

// State is the state that an instance reports of itself.
type State string

const (
	// Ready instances take new requests.
	Ready State = "ready"
	// Draining instances finish their running requests, take no new ones and then leave.
	Draining State = "draining"
	// Unusable marks a list entry that does not describe a usable instance. The entry stays in the
	// list under its ID, so that an earlier entry of that ID is no longer used.
	Unusable State = "unusable"
)

// ID identifies an upstream. Its process may restart under the same ID, see Life.
type ID string

// Instance is one running upstream. It is encoded under its Go field names.
type Instance struct {
	ID      ID
	Service string
	// Addr is the address as IP:port.
	Addr     string
	Zone     string
	Software string
	// Slots is the number of requests that the instance runs at once.
	Slots int
	State State
	// Born is the start time of the process in Unix milliseconds, by the wall clock of its host.
	Born int64 `cbor:",omitempty"`
	// WarmupTold is whether the instance reports the time left of its warm-up. WarmupLeft is the
	// last reported time, 0 when the instance is warm.
	WarmupTold bool          `cbor:",omitempty"`
	WarmupLeft time.Duration `cbor:",omitempty"`
	// Fault is a short description of what is wrong with an Unusable entry.
	Fault string `cbor:",omitempty"`
}
