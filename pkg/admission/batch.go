package admission

// measuredAtOnce is how many refusals are made before the processor time that they took is read.
const measuredAtOnce = 16

// batch is refusals that one goroutine makes one after the other.
type batch struct {
	refuser *refuser
	began   reading
	// n have been made since began.
	n int
	// mixed is whether other work came between them, so that their time isn't known.
	mixed bool
}

func (r *refuser) startBatch() batch { return batch{refuser: r, began: r.begin()} }

// refuse turns a connection away, see refuser.refuse.
func (b *batch) refuse(one refused) bool {
	if !b.refuser.refuse(one) {
		return false
	}
	if b.n++; b.n == measuredAtOnce {
		b.end()
		b.began, b.n = b.refuser.begin(), 0
	}
	return true
}

// end takes the refusals since the last measurement into the mean.
func (b *batch) end() {
	if !b.mixed {
		b.refuser.measure(b.n, b.began)
	}
}
