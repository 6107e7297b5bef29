package once

import (
	"context"
	"strconv"
	"sync"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

const epochKey = "once-epoch"

// epoch is this router's copy of the table's epoch row, the clock of retention. Only
// elapsed time on the clock of the router that advances the row makes it grow, so no
// two hosts' clocks are compared.
//
// Guard: every write of a row is conditional on the epoch row. Without it a write that
// was held up on its way could land after the row that forbids it was swept, or carry
// an epoch so old that it is swept at once; both let a call run twice.
type epoch struct {
	store *store

	mu      sync.Mutex
	known   bool
	number  uint64
	version uint64
}

// current returns the epoch's number and its guard, reading the row when needed.
func (e *epoch) current(ctx context.Context) (uint64, platform.Guard, error) {
	e.mu.Lock()
	known, number, version := e.known, e.number, e.version
	e.mu.Unlock()
	if !known {
		return e.refresh(ctx)
	}
	return number, platform.Guard{Key: epochKey, Version: version}, nil
}

// refresh reads the row. A missing row is epoch 0.
func (e *epoch) refresh(ctx context.Context) (uint64, platform.Guard, error) {
	row, err := e.store.get(ctx, epochKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, platform.Guard{}, errors.Annotate(err, "read epoch")
	}
	var number uint64
	if err == nil {
		if number, err = strconv.ParseUint(string(row.Value), 10, 64); err != nil {
			return 0, platform.Guard{}, errors.Annotate(err, "epoch row")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known, e.number, e.version = true, number, row.Version
	return number, platform.Guard{Key: epochKey, Version: row.Version}, nil
}

// advance moves the row from the epoch that guard names to the next one.
func (e *epoch) advance(ctx context.Context, number uint64, guard platform.Guard) error {
	next := strconv.FormatUint(number+1, 10)
	return e.store.commit(ctx, platform.Txn{
		Guards: []platform.Guard{guard},
		Puts:   []platform.Put{{Key: epochKey, Value: []byte(next)}},
	})
}
