package config

import (
	"context"
	"regexp"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

var opIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// DryRun validates c against the newest configuration and writes nothing.
func (s *Store) DryRun(ctx context.Context, c Change) (Result, error) {
	base, _, err := s.load(ctx)
	if err != nil {
		return Result{}, notAccepted(err)
	}
	next, err := c.apply(base)
	if err != nil {
		return Result{}, err
	}
	return Result{Version: next.Version, Deltas: resource.Diff(base, next), Snapshot: next}, nil
}

// Write accepts c or refuses it whole. Errors: *resource.Invalid, ErrConflict (a
// *ConflictError), ErrNotAccepted (outage, nothing written), ErrOpReused, and
// ErrUndecided when an answer was lost and the table can't be read back.
func (s *Store) Write(ctx context.Context, c Change) (Result, error) {
	if !opIDPattern.MatchString(c.OpID) {
		fault := resource.FieldError{Field: "opId", Text: "must be 1 to 128 letters, digits, dots, dashes or underscores"}
		return Result{}, &resource.Invalid{Fields: []resource.FieldError{fault}}
	}
	digest, err := c.digest()
	if err != nil {
		return Result{}, err
	}
	w := &write{store: s, change: c, digest: digest}
	for range s.opts.Attempts {
		result, done, err := w.try(ctx)
		if done || err != nil {
			return result, err
		}
	}
	return Result{}, w.refusal(errors.New("too many racing writes"))
}

// write is one Write on its way.
type write struct {
	store  *Store
	change Change
	digest string
	// unsettled says that the answer of an earlier try was lost and the try may still
	// take effect.
	unsettled bool
}

// try makes one attempt; done is false when another write came first.
func (w *write) try(ctx context.Context) (Result, bool, error) {
	base, rowVersion, err := w.store.load(ctx)
	if err != nil {
		return Result{}, false, w.refusal(err)
	}
	// A write whose answer was lost may have taken effect: the operator sends it
	// again, and without this look it would be judged against its own effect (a
	// conflict with itself, or a second version of the same change). The row is
	// written in the transaction of the change, so it exists exactly when it took effect.
	if result, found, err := w.replay(ctx); found || err != nil {
		return result, found, err
	}
	next, err := w.change.apply(base)
	if err != nil {
		return Result{}, false, err
	}
	if next == base {
		return Result{Version: base.Version, Snapshot: base}, true, nil
	}
	return w.commit(ctx, base, next, rowVersion)
}

func (w *write) replay(ctx context.Context) (Result, bool, error) {
	op, found, err := w.store.operation(ctx, w.change.OpID)
	if err != nil {
		return Result{}, false, w.refusal(err)
	}
	if !found {
		return Result{}, false, nil
	}
	if op.Digest != w.digest {
		return Result{}, false, errors.Annotatef(ErrOpReused, "%q made version %d", w.change.OpID, op.Version)
	}
	return Result{Version: op.Version, Replayed: true}, true, nil
}

// Operation finds the version that an operation made. found is false when it never
// took effect, or left the history.
func (s *Store) Operation(ctx context.Context, id string) (version uint64, found bool, err error) {
	op, found, err := s.operation(ctx, id)
	if err != nil {
		return 0, false, notAccepted(err)
	}
	return op.Version, found, nil
}

func (s *Store) operation(ctx context.Context, id string) (opRow, bool, error) {
	row, err := s.table.Get(ctx, opKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return opRow{}, false, nil
	}
	if err != nil {
		return opRow{}, false, errors.Annotate(err, "read operation")
	}
	op, err := decodeRow[opRow](row)
	return op, err == nil, err
}

func (w *write) commit(ctx context.Context, base, next *resource.Snapshot, rowVersion uint64) (Result, bool, error) {
	txn, err := w.txn(ctx, next, rowVersion)
	if err != nil {
		return Result{}, false, err
	}
	switch err := w.store.table.Commit(ctx, txn); {
	case err == nil:
		w.store.remember(next)
		return Result{Version: next.Version, Deltas: resource.Diff(base, next), Snapshot: next}, true, nil
	case errors.Is(err, platform.ErrConflict):
		return Result{}, false, nil
	case errors.Is(err, platform.ErrRefused):
		return Result{}, false, w.refusal(err)
	default:
		// The transaction may have taken effect, or may yet do so late. Trying again is
		// safe: both tries are guarded by the same head row, so at most one of them
		// takes effect, and the next round finds the operation's row if it was this one.
		w.unsettled = true
		return Result{}, false, nil
	}
}

// refusal says truthfully whether something may have been written.
func (w *write) refusal(err error) error {
	if w.unsettled {
		return errors.Annotate(ErrUndecided, err.Error())
	}
	return notAccepted(err)
}

func notAccepted(err error) error {
	return errors.Annotate(ErrNotAccepted, err.Error())
}

func (w *write) txn(ctx context.Context, next *resource.Snapshot, rowVersion uint64) (platform.Txn, error) {
	var e encoder
	e.json(headKey, Head{Version: next.Version, OpID: w.change.OpID})
	e.json(logKey(next.Version), Entry{Version: next.Version, OpID: w.change.OpID, At: w.store.opts.Now()})
	e.json(opKey(w.change.OpID), opRow{Version: next.Version, Digest: w.digest})
	e.snapshot(next)
	if err := w.prune(ctx, &e, next.Version); err != nil {
		return platform.Txn{}, err
	}
	if errors.Is(e.err, resource.ErrTooLarge) {
		return platform.Txn{}, &resource.Invalid{Fields: []resource.FieldError{{Field: "size", Text: e.err.Error()}}}
	}
	guards := []platform.Guard{{Key: headKey, Version: rowVersion}, {Key: opKey(w.change.OpID)}}
	return platform.Txn{Guards: guards, Puts: e.puts}, e.err
}

// prune drops the rows of the one version that leaves the history. Each change drops
// one, so the history stays bounded without a cleaner.
func (w *write) prune(ctx context.Context, e *encoder, version uint64) error {
	if version <= w.store.opts.History {
		return nil
	}
	old := version - w.store.opts.History
	row, err := w.store.table.Get(ctx, logKey(old))
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return w.refusal(err)
	}
	entry, err := decodeRow[Entry](row)
	if err != nil {
		return err
	}
	e.delete(logKey(old), snapshotKey(old), opKey(entry.OpID))
	return nil
}
