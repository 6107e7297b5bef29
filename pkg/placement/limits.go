package placement

import "time"

// Limits are what a request may find at an engine.
type Limits struct {
	// Wait is the longest wait to the first event that is worth starting.
	Wait time.Duration
	// Queue refuses the request unless the queue of some candidate is within it, wherever the
	// request is then sent.
	Queue time.Duration
	// OwnQueue is the longest queue of the candidate that is chosen.
	OwnQueue time.Duration
	// Occupancy is the part of an engine's slots that may be taken, one at least; 0 for any.
	Occupancy float64
	// Reserve is how often the time for reading again what another candidate keeps must
	// fit within Wait beside the wait: an engine that is nearly full does better to serve
	// prompts that it keeps.
	Reserve float64
	// Stay makes Reserve count what an engine lacks of the prompt also where it could fetch it.
	Stay bool
	// Spare says that the request may only have what others leave.
	Spare bool
	// HeldBack is the part of such requests that is refused however idle engines are; 0 for none.
	// It counts with Spare.
	HeldBack float64
	// Harm is the weight of the streams that it may make late at most; 0 for any.
	Harm float64
}
