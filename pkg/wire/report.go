package wire

// Running is one slot in use at the reporting router.
type Running struct {
	ID       ClaimID `cbor:"1,keyasint"`
	Org      string  `cbor:"2,keyasint"`
	Upstream string  `cbor:"3,keyasint"`
	// Cost is the service so far.
	Cost  Units `cbor:"4,keyasint,omitempty"`
	Alone bool  `cbor:"6,keyasint,omitempty"`
}

// Progress is the service so far of a slot that an answered report listed whole: its
// organisation and upstream are known to the keeper and would be most of the bytes.
type Progress struct {
	_ struct{} `cbor:",toarray"`
	// Offset added to Report.Base gives the claim's ID.
	Offset uint64
	Cost   Units
}

// OrgCounter is what one router delivered to one organisation through the other cells
// of the pool. It only grows within one incarnation.
type OrgCounter struct {
	Org string `cbor:"1,keyasint"`
	// Elsewhere is service delivered in the pool's other cells.
	Elsewhere Units `cbor:"2,keyasint,omitempty"`
	// Virtual is the largest virtual counter of the organisation in this cell that
	// the router has seen in a grant; it lets a new keeper go on where the old one was.
	Virtual Units `cbor:"3,keyasint,omitempty"`
}

// Report is the router's view of one cell, sent to its keeper about once a second
// while the router has claims or running work there, and whole to a new keeper.
// A slot that a Full report omits, and whose grant has lapsed, is free.
type Report struct {
	Cell CellID `cbor:"1,keyasint"`
	// Seq grows with each report of one incarnation for one cell; an older one is ignored.
	Seq uint64 `cbor:"2,keyasint"`
	// Full says that Running and Waiting are complete.
	Full    bool      `cbor:"3,keyasint,omitempty"`
	Running []Running `cbor:"4,keyasint,omitempty"`
	// Progress lists slots in use that the keeper knows; never set in a Full report.
	Progress []Progress   `cbor:"8,keyasint,omitempty"`
	Base     ClaimID      `cbor:"9,keyasint,omitempty"`
	Waiting  []ClaimID    `cbor:"5,keyasint,omitempty"` // claims the router still wants
	Orgs     []OrgCounter `cbor:"6,keyasint,omitempty"`
	// Leaving is the newest mark of leaving upstreams the router knows.
	Down []UpstreamMark `cbor:"7,keyasint,omitempty"`
}

// UpstreamMark says that an upstream must get no new work. Higher Generation wins.
type UpstreamMark struct {
	Upstream   string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Leaving    bool   `cbor:"3,keyasint,omitempty"`
}

// CellState is the keeper's answer to a Report.
type CellState struct {
	Cell CellID `cbor:"1,keyasint"`
	// Seq echoes the Report that this answers.
	Seq uint64 `cbor:"2,keyasint"`
	// Spare is the number of free slots, Backlog the number of waiting claims.
	Spare   uint32 `cbor:"3,keyasint,omitempty"`
	Backlog uint32 `cbor:"4,keyasint,omitempty"`
	// Resend lists claims in Report.Waiting that the keeper doesn't know: send them again.
	Resend []ClaimID `cbor:"5,keyasint,omitempty"`
	// Unknown says that Report.Progress named a slot that the keeper doesn't know: it
	// needs a Full report.
	Unknown bool `cbor:"6,keyasint,omitempty"`
}
