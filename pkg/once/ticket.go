package once

import "sync"

// Ticket is the right to dispatch a recorded call once. One of its methods must be
// called at the end; later calls do nothing.
type Ticket interface {
	// Ran stores the answer for replays; a body over the bound is left out.
	Ran(status int, body []byte)
	// MayHaveRun says that the call's end will never be known.
	MayHaveRun()
	// NotRun frees the key: no byte of the call can have reached an upstream.
	NotRun()
}

type ticket struct {
	book  *Book
	entry *entry
	once  sync.Once
}

func (t *ticket) Ran(status int, body []byte) {
	t.once.Do(func() {
		s := settlement{entry: t.entry, state: stateRan, status: status}
		if len(body) <= t.book.options.MaxBody {
			s.body, s.hasBody = append([]byte(nil), body...), true
		}
		t.book.settle(s)
	})
}

func (t *ticket) MayHaveRun() {
	t.once.Do(func() { t.book.settle(settlement{entry: t.entry, state: stateUnsettled}) })
}

func (t *ticket) NotRun() {
	t.once.Do(func() { t.book.release(t.entry) })
}
