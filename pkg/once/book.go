// Package once runs calls that may not be repeated at most once, by the caller's
// Idempotency-Key.
//
// A call's row stands in the platform's table before the first byte of the call can
// reach an upstream. Whoever finds the row of another attempt doesn't dispatch. Rows
// are written in batches: one transaction carries all calls that came within a few
// milliseconds. docs/design/at-most-once.md has the reasons, spec/once.pml the proof.
package once

import (
	"context"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// maxUndispatched bounds the attempts remembered as never dispatched. Forgetting one
// is safe: its row then counts as one that may have run.
const maxUndispatched = 4096

// burstTxns is how many transactions an idle router may send at once.
const burstTxns = 8

// Book records calls in the table. Run must be running for Begin to make progress.
type Book struct {
	store   *store
	options Options
	epoch   *epoch

	inserts     chan *entry
	settlements chan settlement
	stopped     chan struct{}

	undispatched *lru.Cache[string, struct{}]
}

// New returns a Book on table.
func New(table platform.Table, o Options) *Book {
	o = o.withDefaults()
	undispatched, err := lru.New[string, struct{}](maxUndispatched)
	if err != nil {
		panic(err) // only for a size below 1
	}
	budget := rate.NewLimiter(rate.Limit(o.TxnsPerSecond), burstTxns)
	store := &store{table: table, timeout: o.Timeout, budget: budget}
	return &Book{
		store:        store,
		options:      o,
		epoch:        &epoch{store: store},
		inserts:      make(chan *entry, o.MaxQueued),
		settlements:  make(chan settlement, o.MaxSettling),
		stopped:      make(chan struct{}),
		undispatched: undispatched,
	}
}

// SetRate changes the transactions a second that this router may use, when the fleet
// grows or shrinks.
func (b *Book) SetRate(txnsPerSecond float64) { b.store.budget.SetLimit(rate.Limit(txnsPerSecond)) }

// Run runs the duties until ctx ends: recording, settling, removing old rows.
func (b *Book) Run(ctx context.Context) error {
	duties, ctx := errgroup.WithContext(ctx)
	duties.Go(func() error { b.runInserts(ctx); return nil })
	duties.Go(func() error { b.runSettlements(ctx); return nil })
	duties.Go(func() error { b.runRetention(ctx); return nil })
	return duties.Wait()
}

// Begin records a call before it is dispatched; content is a hash of the whole call.
// A nil error gives the right to dispatch it once, and the Ticket must be finished.
// The error is a *Replay when the call ran and its answer was stored, else a
// *verdict.Error.
func (b *Book) Begin(ctx context.Context, org, key string, content uint64) (Ticket, error) {
	e := newEntry(rowKey(org, key), content)
	select {
	case b.inserts <- e:
	default:
		return nil, refuseBusy()
	}
	select {
	case err := <-e.result:
		return b.ticket(e, err)
	case <-ctx.Done():
		return b.abandon(e, refuseCanceled(ctx.Err()))
	case <-b.stopped:
		return b.abandon(e, refuseDraining())
	}
}

// abandon gives a call up that may be recorded at this moment. When the duty ends the
// entry later, it releases the row: the next try of the caller must be able to run.
func (b *Book) abandon(e *entry, refusal error) (Ticket, error) {
	if e.finish() {
		return nil, refusal
	}
	return b.ticket(e, <-e.result)
}

func (b *Book) ticket(e *entry, err error) (Ticket, error) {
	if err != nil {
		return nil, err
	}
	return &ticket{book: b, entry: e}, nil
}
