package once

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Backoff of settling while the table is out.
const (
	settleBackoffMin = 100 * time.Millisecond
	settleBackoffMax = 10 * time.Second
)

// settlement is the end of an attempt that is yet to be written.
type settlement struct {
	entry   *entry
	state   state
	status  int
	body    []byte
	hasBody bool
	// flushed marks a request of Flush: closed once all before it is written.
	flushed chan struct{}
}

// settle queues s. When the queue is full the row stays pending, which is true too:
// later tries hear "may have run".
func (b *Book) settle(s settlement) {
	select {
	case b.settlements <- s:
	default:
		log.WithField("row", s.entry.row).Warn("idempotency record left pending: queue full")
	}
}

// release frees the key of an attempt that was never dispatched.
func (b *Book) release(e *entry) {
	b.undispatched.Add(e.attempt, struct{}{})
	b.settle(settlement{entry: e, state: stateReleased})
}

// Flush waits until all that was finished before is written, or ctx ends.
func (b *Book) Flush(ctx context.Context) error {
	flushed := make(chan struct{})
	select {
	case b.settlements <- settlement{flushed: flushed}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-flushed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runSettlements is the duty that writes finished calls, many in one transaction.
func (b *Book) runSettlements(ctx context.Context) {
	for {
		batch := b.collectSettlements(ctx)
		if ctx.Err() != nil {
			return
		}
		b.writeSettlements(ctx, batch)
	}
}

func (b *Book) collectSettlements(ctx context.Context) []settlement {
	var batch []settlement
	wait := time.NewTimer(b.options.SettleEvery)
	defer wait.Stop()
	for len(batch) < b.options.MaxBatch {
		select {
		case s := <-b.settlements:
			batch = append(batch, s)
			if s.flushed != nil {
				return batch
			}
		case <-wait.C:
			if len(batch) > 0 {
				return batch
			}
			wait.Reset(b.options.SettleEvery)
		case <-ctx.Done():
			return nil
		}
	}
	return batch
}

// writeSettlements goes on through outages and conflicts until the batch is written.
func (b *Book) writeSettlements(ctx context.Context, batch []settlement) {
	backoff := settleBackoffMin
	for !b.trySettlements(ctx, batch) {
		select {
		case <-time.After(spread(backoff)):
		case <-ctx.Done():
			return
		}
		backoff = min(2*backoff, settleBackoffMax)
	}
	for _, s := range batch {
		if s.flushed != nil {
			close(s.flushed)
		}
	}
}

func (b *Book) trySettlements(ctx context.Context, batch []settlement) bool {
	number, guard, err := b.epoch.refresh(ctx)
	if err != nil {
		return false
	}
	plans := make([]platform.Txn, len(batch))
	reads, readCtx := errgroup.WithContext(ctx)
	reads.SetLimit(readsAtOnce)
	for i, s := range batch {
		reads.Go(func() (err error) {
			plans[i], err = b.plan(readCtx, s, number)
			return err
		})
	}
	if reads.Wait() != nil {
		return false
	}
	txn := platform.Txn{Guards: []platform.Guard{guard}}
	for _, p := range plans {
		txn.Guards = append(txn.Guards, p.Guards...)
		txn.Puts = append(txn.Puts, p.Puts...)
	}
	return len(txn.Puts) == 0 || b.store.commit(ctx, txn) == nil
}

// plan returns the write of s, empty when none is needed. Guard: the write depends on
// the version read; a release that was held up on its way would otherwise land on the
// row of a later attempt that runs, and free its key for one more run.
func (b *Book) plan(ctx context.Context, s settlement, number uint64) (platform.Txn, error) {
	if s.flushed != nil {
		return platform.Txn{}, nil
	}
	row, err := b.store.get(ctx, s.entry.row)
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		return platform.Txn{}, errors.Annotate(err, "read row to settle")
	}
	if !b.needsWrite(s, row, missing) {
		return platform.Txn{}, nil
	}
	value, err := record{Attempt: s.entry.attempt, Content: s.entry.content, State: s.state,
		Epoch: number, Status: s.status, Body: s.body, HasBody: s.hasBody}.encode()
	if err != nil {
		return platform.Txn{}, err
	}
	return platform.Txn{
		Guards: []platform.Guard{{Key: s.entry.row, Version: row.Version}},
		Puts:   []platform.Put{{Key: s.entry.row, Value: value}},
	}, nil
}

// needsWrite says whether the row still waits for s. A release also rewrites a row that
// is missing or free: the new version defeats a write of this attempt that is still on
// its way and would block the key when it lands.
func (b *Book) needsWrite(s settlement, row platform.Row, missing bool) bool {
	if missing {
		return s.state == stateReleased
	}
	found, err := decodeRecord(row.Value)
	if err != nil {
		return false
	}
	if found.Attempt == s.entry.attempt {
		return found.State == statePending
	}
	return s.state == stateReleased && b.isFree(found)
}
