package affinity

import (
	"time"

	"github.com/juju/errors"
)

// StoredRow is the register's row as read. Version is 0 where there is none; Clock and Era are the store's.
type StoredRow struct {
	Value   []byte
	Version int64
	Clock   time.Duration
	Era     int64
}

// ErrRowChanged says that the row has changed since it was read.
const ErrRowChanged = errors.ConstError("the row has changed")

// BatchRow is a row of records of streams.
type BatchRow struct {
	Key   string
	Value []byte
}
