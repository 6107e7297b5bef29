package upstream

import "time"

// MaxBackoff bounds the backoff that an upstream can request. A longer one is a mistake that would take the
// upstream out of service until somebody notices.
const MaxBackoff = 5 * time.Minute

// Notice is what the head of an upstream's response says about the upstream itself. The zero value says
// nothing.
type Notice struct {
	// Leaving says that the upstream is about to terminate and takes no new requests.
	Leaving bool
	// Backoff is how long the upstream wants no requests from this router, at most MaxBackoff; 0 for none.
	Backoff time.Duration
	// Misdirected says that the response comes from another upstream than the one that was asked; Sender is
	// the ID that the response names, empty if none.
	Misdirected bool
	Sender      ID
	// Fault says which part of the notice can't be read; empty for none.
	Fault string
}

// Empty reports whether the notice says nothing.
func (n *Notice) Empty() bool { return !n.Leaving && n.Backoff == 0 && n.Fault == "" }
