package wire

// Claim asks the keeper of Cell for a slot. The request itself waits in the
// router that accepted it. A claim is idempotent: sent again with the same ID it
// stays one claim (after a lost frame, or to a new keeper).
type Claim struct {
	ID      ClaimID `cbor:"1,keyasint"`
	Cell    CellID  `cbor:"2,keyasint"`
	Org     string  `cbor:"3,keyasint"`
	Class   Class   `cbor:"4,keyasint,omitempty"`
	Prefix  uint64  `cbor:"6,keyasint,omitempty"` // hash of the prompt's head, a hint
	Content uint64  `cbor:"7,keyasint,omitempty"` // hash of the whole request, for quarantine
	// WaitMs is how long the claim stays worth granting, counted from its sending.
	WaitMs uint32 `cbor:"8,keyasint,omitempty"`
	// AgeMs is how long the request has waited in its router already.
	AgeMs uint32 `cbor:"9,keyasint,omitempty"`
	// Exclude names upstreams that this request must not go to again.
	Exclude []string `cbor:"10,keyasint,omitempty"`
}

// Cancel withdraws a claim that has not been granted (caller gone, deadline, moved cell).
type Cancel struct {
	ID   ClaimID `cbor:"1,keyasint"`
	Cell CellID  `cbor:"2,keyasint"`
}

// Grant gives a claim one slot on Upstream. It lapses TTLMs after the router *sent*
// the later of two things, on the router's own clock: the claim's first copy, or the
// Report that EchoSeq names. Both were sent before the keeper granted, so the router
// always counts from a moment before the grant and gives up before the keeper does.
type Grant struct {
	ID       ClaimID `cbor:"1,keyasint"`
	Cell     CellID  `cbor:"2,keyasint"`
	Upstream string  `cbor:"3,keyasint"`
	// Virtual is the organisation's virtual counter after the charge; routers keep
	// the largest one and hand it to a new keeper.
	Virtual Units  `cbor:"4,keyasint,omitempty"`
	TTLMs   uint32 `cbor:"5,keyasint"`
	// Alone asks the router to treat the request as a suspect that runs by itself.
	Alone bool `cbor:"6,keyasint,omitempty"`
	// EchoSeq is the highest Report.Seq that the keeper has had from this router for
	// this cell; 0 when none.
	EchoSeq uint64 `cbor:"7,keyasint,omitempty"`
}

// RefusalReason says why a keeper turned a claim down.
type RefusalReason uint8

// Reasons of a refusal.
const (
	RefusedBacklog    RefusalReason = iota // the keeper's bound for the organisation
	RefusedNotKeeper                       // this router doesn't keep the cell
	RefusedNoUpstream                      // no usable upstream in the cell
	RefusedQuarantine                      // the content crashed upstreams before
	RefusedLeaving                         // the keeper hands the cell over
)

// Refusal ends a claim at the keeper. RetryMs is worked out from the drain rate.
type Refusal struct {
	ID      ClaimID       `cbor:"1,keyasint"`
	Cell    CellID        `cbor:"2,keyasint"`
	Reason  RefusalReason `cbor:"3,keyasint"`
	RetryMs uint32        `cbor:"4,keyasint,omitempty"`
}

// Outcome says how a granted slot ended.
type Outcome uint8

// Outcomes of a granted slot.
const (
	OutcomeServed      Outcome = iota // a whole answer
	OutcomeUnused                     // lapsed or not needed: nothing was sent to the upstream
	OutcomeCanceled                   // the caller went away
	OutcomeFailed                     // the upstream answered an error, or garbage, and lives
	OutcomeDied                       // the connection broke under the request: the upstream may be dead
	OutcomeUnreachable                // no connection, nothing was sent: the upstream may be dead
)

// Done gives a slot back and settles its cost. The keeper knows the claim's organisation
// and content from its slot.
type Done struct {
	ID       ClaimID `cbor:"1,keyasint"`
	Cell     CellID  `cbor:"2,keyasint"`
	Upstream string  `cbor:"4,keyasint"`
	Outcome  Outcome `cbor:"5,keyasint,omitempty"`
	// Cost is the whole measured service of this request.
	Cost Units `cbor:"6,keyasint,omitempty"`
	// FirstMs and StepUs are what the router measured: time to the first token in
	// milliseconds, mean time between tokens in microseconds; 0 when not measured.
	FirstMs uint32 `cbor:"7,keyasint,omitempty"`
	StepUs  uint32 `cbor:"8,keyasint,omitempty"`
}
