package once

import (
	"context"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Bounds of the sweep: one list of sweepRows rows each sweepEvery.
const (
	sweepEvery = time.Second
	sweepRows  = 250
)

// sweeper removes rows older than the kept epochs and advances the epoch.
type sweeper struct {
	book *Book
	// number is the epoch seen, since when on this router's clock; after is the row
	// where the pass goes on; swept is the last epoch with a finished pass.
	number uint64
	since  time.Time
	after  string
	swept  uint64
}

// runRetention is the duty that keeps the table from growing for ever.
func (b *Book) runRetention(ctx context.Context) {
	s := &sweeper{book: b}
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if b.options.Sweeps() {
			s.step(ctx)
		} else {
			*s = sweeper{book: b}
		}
	}
}

func (s *sweeper) step(ctx context.Context) {
	number, guard, err := s.book.epoch.refresh(ctx)
	if err != nil {
		return
	}
	if number != s.number || s.since.IsZero() {
		s.number, s.since = number, time.Now()
	}
	if time.Since(s.since) >= s.book.options.EpochLength {
		// Errors need no care: the epoch is read again in the next step.
		_ = s.book.epoch.advance(ctx, number, guard)
		return
	}
	if number > s.swept {
		s.sweep(ctx)
	}
}

// sweep removes the old ones of the next rows.
func (s *sweeper) sweep(ctx context.Context) {
	rows, err := s.book.store.list(ctx, s.after, sweepRows)
	if err != nil {
		return
	}
	var txn platform.Txn
	for _, row := range rows {
		if len(txn.Puts) == s.book.options.MaxBatch {
			break
		}
		s.after = row.Key
		if s.expired(row) {
			txn.Guards = append(txn.Guards, platform.Guard{Key: row.Key, Version: row.Version})
			txn.Puts = append(txn.Puts, platform.Put{Key: row.Key, Delete: true})
		}
	}
	if len(rows) == 0 {
		s.after, s.swept = "", s.number
		return
	}
	if len(txn.Puts) > 0 {
		// A row that changed meanwhile fails the batch; the next epoch's pass gets it.
		_ = s.book.store.commit(ctx, txn)
	}
}

// expired rows are older than the kept epochs. A released row forbids nothing and only
// defeats late writes, which the epoch's guard does as well once the epoch has moved.
func (s *sweeper) expired(row platform.Row) bool {
	r, err := decodeRecord(row.Value)
	if err != nil {
		return false
	}
	if r.State == stateReleased {
		return s.number > r.Epoch+1
	}
	return s.number > r.Epoch+s.book.options.KeepEpochs
}
