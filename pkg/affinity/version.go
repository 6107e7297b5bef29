package affinity

import "time"

// version is what is known of a software version of a service.
type version struct {
	// since is when it was listed after it hadn't been, or first known, revision a revision of the list at which it
	// has been listed since; 0 while that isn't known.
	since    time.Time
	revision int64
	listed   bool
	// lastListed is when it was last known to be listed.
	lastListed time.Time
	// open says that streams may begin there.
	open bool
	// heldUntil is until when the register in the store has it for certain.
	heldUntil time.Time
}
