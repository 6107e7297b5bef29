package once

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// maxRounds bounds the tries to record one batch.
const maxRounds = 4

// runInserts is the duty that records calls before dispatch.
func (b *Book) runInserts(ctx context.Context) {
	defer close(b.stopped)
	var carried []*entry
	for {
		batch := b.collect(ctx, carried)
		if ctx.Err() != nil {
			return
		}
		batch, carried = onePerRow(batch)
		b.record(ctx, batch)
	}
}

// collect waits for a first entry and then for Window for others.
func (b *Book) collect(ctx context.Context, batch []*entry) []*entry {
	if len(batch) == 0 {
		select {
		case e := <-b.inserts:
			batch = append(batch, e)
		case <-ctx.Done():
			return nil
		}
	}
	window := time.NewTimer(b.options.Window)
	defer window.Stop()
	for len(batch) < b.options.MaxBatch {
		select {
		case e := <-b.inserts:
			batch = append(batch, e)
		case <-window.C:
			return batch
		case <-ctx.Done():
			return nil
		}
	}
	return batch
}

// onePerRow keeps the first entry of each row and carries the others to the next
// batch: two writes of one row in one transaction would both count as accepted.
func onePerRow(batch []*entry) (first, carried []*entry) {
	seen := make(map[string]bool, len(batch))
	for _, e := range batch {
		if seen[e.row] {
			carried = append(carried, e)
			continue
		}
		seen[e.row] = true
		first = append(first, e)
	}
	return first, carried
}

// record tries to write batch until each entry has its result. After a conflict or an
// unknown outcome the rows are read back and what is still open goes into another
// transaction, so that one used key doesn't fail its neighbours.
func (b *Book) record(ctx context.Context, batch []*entry) {
	for range maxRounds {
		err := b.commitPending(ctx, batch)
		if err == nil {
			b.accept(batch)
			return
		}
		if errors.Is(err, platform.ErrRefused) {
			b.refuse(batch, refuseTableDown(err))
			return
		}
		if !errors.Is(err, platform.ErrConflict) {
			markUncertain(batch)
		}
		batch = b.readBack(ctx, batch)
		if len(batch) == 0 {
			return
		}
	}
	b.refuse(batch, refuseTableDown(errors.New("no agreement with the table")))
}

// commitPending writes the rows of batch. ErrRefused also stands for all that failed
// before the transaction was sent.
func (b *Book) commitPending(ctx context.Context, batch []*entry) error {
	number, guard, err := b.epoch.current(ctx)
	if err != nil {
		return errors.Wrap(err, platform.ErrRefused)
	}
	txn := platform.Txn{Guards: []platform.Guard{guard}}
	for _, e := range batch {
		value, err := record{Attempt: e.attempt, Content: e.content, Epoch: number}.encode()
		if err != nil {
			return errors.Wrap(err, platform.ErrRefused)
		}
		txn.Guards = append(txn.Guards, platform.Guard{Key: e.row, Version: e.version})
		txn.Puts = append(txn.Puts, platform.Put{Key: e.row, Value: value})
	}
	return b.store.commit(ctx, txn)
}

func markUncertain(batch []*entry) {
	for _, e := range batch {
		e.uncertain = true
	}
}

// accept hands out the right to dispatch. An entry whose caller has left is released.
func (b *Book) accept(batch []*entry) {
	for _, e := range batch {
		if e.finish() {
			e.result <- nil
			continue
		}
		b.release(e)
	}
}

// refuse ends entries that are not dispatched. Guard: a write without an answer may
// still take effect, or even arrive later; its row is released, or the key would be
// blocked by an attempt that never ran.
func (b *Book) refuse(batch []*entry, refusal error) {
	for _, e := range batch {
		if e.uncertain {
			b.release(e)
		}
		if e.finish() {
			e.result <- refusal
		}
	}
}
