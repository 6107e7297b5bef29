package once

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// readsAtOnce bounds the reads of the table that one duty has under way.
const readsAtOnce = 8

// readBack ends the entries whose rows say how they stand and returns the others.
func (b *Book) readBack(ctx context.Context, batch []*entry) []*entry {
	if _, _, err := b.epoch.refresh(ctx); err != nil {
		b.refuse(batch, refuseTableDown(err))
		return nil
	}
	open := make([]bool, len(batch))
	var reads errgroup.Group
	reads.SetLimit(readsAtOnce)
	for i, e := range batch {
		reads.Go(func() error {
			open[i] = b.readOne(ctx, e)
			return nil
		})
	}
	_ = reads.Wait()
	var again []*entry
	for i, e := range batch {
		if open[i] {
			again = append(again, e)
		}
	}
	return again
}

// readOne ends e, or prepares its next write and returns true.
func (b *Book) readOne(ctx context.Context, e *entry) (again bool) {
	row, err := b.store.get(ctx, e.row)
	if errors.Is(err, platform.ErrNotFound) {
		e.version = 0
		return true
	}
	if err != nil {
		b.refuse([]*entry{e}, refuseTableDown(err))
		return false
	}
	found, err := decodeRecord(row.Value)
	switch {
	case err != nil:
		b.refuse([]*entry{e}, refuseUnsettled())
	case found.Attempt == e.attempt:
		// Guard: an attempt whose answer was lost recognises its own row; without this
		// it would refuse itself as a duplicate of itself and the call would never run.
		b.accept([]*entry{e})
	case b.isFree(found):
		e.version = row.Version
		return true
	default:
		b.refuse([]*entry{e}, duplicateOf(found, e.content))
	}
	return false
}

// isFree says whether a new attempt may take the row over by compare-and-set: the
// earlier attempt is known never to have been dispatched.
func (b *Book) isFree(r record) bool {
	if r.State == stateReleased {
		return true
	}
	return r.State == statePending && b.undispatched.Contains(r.Attempt)
}

func duplicateOf(found record, content uint64) error {
	switch {
	case found.Content != content:
		return refuseReused()
	case found.State == stateRan && found.HasBody:
		return &Replay{Status: found.Status, Body: found.Body}
	case found.State == stateRan:
		return refuseRan()
	case found.State == stateUnsettled:
		return refuseUnsettled()
	default:
		return refusePending()
	}
}
