package order

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Leases grants, renews and revokes leases in the table.
type Leases struct {
	table     platform.Table
	options   Options
	sightings sightings
}

// NewLeases returns Leases on table.
func NewLeases(table platform.Table, o Options) *Leases {
	return &Leases{table: table, options: o.withDefaults()}
}

// Request says for what a lease is wanted.
type Request struct {
	Upstream string
	// Declared is the configuration version of the order.
	Declared uint64
	// ChecksFence says that the engine refuses old fencing numbers.
	ChecksFence bool
	// EngineFence is the number the engine has accepted; the lease's is higher, also
	// when the operators have set the table back to an older backup.
	EngineFence uint64
}

// Grant takes the lease if nobody else can be using it: ErrHeld, ErrStale or another
// error when not.
func (l *Leases) Grant(ctx context.Context, r Request) (*Lease, error) {
	began := time.Now()
	read, old, err := l.read(ctx, r.Upstream)
	if err != nil {
		return nil, err
	}
	if err := l.mayTake(r, read.Version, old); err != nil {
		return nil, err
	}
	next := leaseRow{
		Holder:   l.options.Router + "/" + uuid.NewString(),
		Fence:    max(old.Fence, r.EngineFence) + 1,
		Declared: r.Declared,
	}
	lease := &Lease{Upstream: r.Upstream, Fence: next.Fence, holder: next.Holder}
	if err := l.write(ctx, began, read, next, lease); err != nil {
		return nil, err
	}
	l.sightings.forget(r.Upstream)
	return lease, nil
}

func (l *Leases) mayTake(r Request, version uint64, old leaseRow) error {
	// Guard: a router that was cut off still holds an old configuration, finds the
	// engine different from it and would order it back; the two would go on in turns.
	if old.Declared > r.Declared {
		return ErrStale
	}
	if old.Holder == "" {
		return nil
	}
	if l.sightings.age(time.Now(), r.Upstream, version) < l.options.takeoverAfter(r.ChecksFence) {
		return ErrHeld
	}
	return nil
}

// Renew extends a lease that is still valid.
func (l *Leases) Renew(ctx context.Context, lease *Lease) error {
	if !lease.Valid() {
		return ErrLapsed
	}
	began := time.Now()
	read, row, err := l.read(ctx, lease.Upstream)
	if err != nil {
		return err
	}
	if row.Holder != lease.holder {
		lease.expires = time.Time{}
		return ErrLapsed
	}
	return l.write(ctx, began, read, row, lease)
}

// Revoke gives the lease back; only for a holder whose orders have all been answered.
// An error needs no care: the lease lapses by itself.
func (l *Leases) Revoke(ctx context.Context, lease *Lease) error {
	lease.expires = time.Time{}
	read, row, err := l.read(ctx, lease.Upstream)
	if err != nil {
		return err
	}
	if row.Holder != lease.holder {
		return nil
	}
	row.Holder = ""
	return l.commit(ctx, read, row, lease.Upstream)
}

// write commits row, read at or after began, and counts the lease's time from then.
//
// Guard: the time runs from before the row was read, so before any write of it that a
// successor may have seen, less a margin for clocks that run at different speeds.
// Counted from the answer, an answer that came late, or to a process that was paused,
// would stretch the lease past what a successor waits.
func (l *Leases) write(ctx context.Context, began time.Time, read platform.Row, row leaseRow, lease *Lease) error {
	err := l.commit(ctx, read, row, lease.Upstream)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrRefused) {
		return err
	}
	if err != nil && !l.isOwn(ctx, read, lease) {
		return err
	}
	lease.expires = began.Add(l.options.TTL - l.options.Margin)
	return nil
}

// isOwn reads a row back whose write had no answer.
func (l *Leases) isOwn(ctx context.Context, before platform.Row, lease *Lease) bool {
	read, row, err := l.read(ctx, lease.Upstream)
	return err == nil && read.Version != before.Version && row.Holder == lease.holder
}

func (l *Leases) read(ctx context.Context, upstream string) (platform.Row, leaseRow, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	read, err := l.table.Get(ctx, leaseKey(upstream))
	if errors.Is(err, platform.ErrNotFound) {
		read, err = platform.Row{}, nil
	}
	if err != nil {
		return read, leaseRow{}, errors.Annotatef(err, "read lease of %s", upstream)
	}
	row, err := decodeLease(read)
	return read, row, err
}

func (l *Leases) commit(ctx context.Context, read platform.Row, row leaseRow, upstream string) error {
	txn, err := row.write(read, upstream)
	if err != nil {
		return errors.Wrap(err, platform.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	return l.table.Commit(ctx, txn)
}
