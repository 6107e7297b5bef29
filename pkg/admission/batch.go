package admission

// refusalsPerMeasurement is the number of refusals between two readings of the CPU clocks.
const refusalsPerMeasurement = 16

// refusalBatch is a series of refusals made by one goroutine.
type refusalBatch struct {
	refuser *refuser
	began   cpuTimes
	// n is the number of refusals since began.
	n int
	// hasOtherWork is set when the goroutine did other work in between, so that the refusals' CPU
	// time isn't known.
	hasOtherWork bool
}

func (r *refuser) startBatch() refusalBatch { return refusalBatch{refuser: r, began: r.startTiming()} }

// refuse refuses a connection, see refuser.refuse.
func (b *refusalBatch) refuse(conn refusedConn) bool {
	if !b.refuser.refuse(conn) {
		return false
	}
	if b.n++; b.n == refusalsPerMeasurement {
		b.end()
		b.began, b.n = b.refuser.startTiming(), 0
	}
	return true
}

// end adds the refusals since the last measurement to the mean.
func (b *refusalBatch) end() {
	if !b.hasOtherWork {
		b.refuser.measure(b.n, b.began)
	}
}
