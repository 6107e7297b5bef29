package platformtest

// Fault is what happens to one commit.
type Fault uint8

// Faults of a commit.
const (
	FaultNone    Fault = iota
	FaultRefuse        // ErrRefused, nothing written
	FaultLost          // ErrUnknown, never written
	FaultUnheard       // ErrUnknown, but written
	FaultLate          // ErrUnknown, tried later by Table.DeliverLate
	// FaultUnheardThenDown: ErrUnknown, but written, and the table is out from then on.
	FaultUnheardThenDown
)
