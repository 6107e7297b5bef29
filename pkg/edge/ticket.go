package edge

// noTicket is for calls that may be repeated.
type noTicket struct{}

func (noTicket) Ran(int, []byte) {}
func (noTicket) MayHaveRun()     {}
func (noTicket) NotRun()         {}
