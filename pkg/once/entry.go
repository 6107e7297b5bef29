package once

import (
	"sync/atomic"

	"github.com/google/uuid"
)

// entry is one attempt of a call on its way into the table.
type entry struct {
	row     string
	attempt string
	content uint64

	// version guards the write: 0 inserts, else the free row of an earlier attempt is
	// taken over. Only the inserting duty uses it and uncertain.
	version uint64
	// uncertain says that a write of this attempt got no answer and may have taken effect.
	uncertain bool

	finished atomic.Bool
	result   chan error
}

func newEntry(row string, content uint64) *entry {
	return &entry{row: row, attempt: uuid.NewString(), content: content, result: make(chan error, 1)}
}

// finish decides who ends the entry, the duty with a result or the caller by leaving:
// the first gets true.
func (e *entry) finish() bool { return e.finished.CompareAndSwap(false, true) }
