package config

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Event is one accepted change, as a watch shows it.
type Event struct {
	Version uint64        `json:"version"`
	OpID    string        `json:"opId"`
	At      time.Time     `json:"at"`
	Changes []EventChange `json:"changes"`
}

// EventChange is one resource in an Event.
type EventChange struct {
	resource.Ref
	Action resource.Action `json:"action"`
	// Resource is what the change left; null after a deletion.
	Resource resource.Document `json:"resource"`
}

// maxEvents bounds the events of one read.
const maxEvents = 64

// Events lists the changes after version from, oldest first, at most a page of them;
// none when from is the newest. ErrGone: the history between was pruned, or from is
// no version of this table.
func (s *Store) Events(ctx context.Context, from uint64) ([]Event, error) {
	rows, err := s.table.List(ctx, logPrefix, logKey(from), maxEvents)
	if err != nil {
		return nil, errors.Annotate(err, "read configuration log")
	}
	if len(rows) == 0 {
		return nil, s.checkNewest(ctx, from)
	}
	before, err := s.At(ctx, from)
	if err != nil {
		return nil, err
	}
	events := make([]Event, 0, len(rows))
	for _, row := range rows {
		entry, err := decodeRow[Entry](row)
		if err != nil {
			return nil, err
		}
		// A gap means that rows were pruned between the reads; going on would hide
		// those changes from the watcher.
		if entry.Version != before.Version+1 {
			return nil, errors.Annotatef(ErrGone, "after version %d", from)
		}
		after, err := s.At(ctx, entry.Version)
		if err != nil {
			return nil, err
		}
		events = append(events, eventOf(entry, before, after))
		before = after
	}
	return events, nil
}

func (s *Store) checkNewest(ctx context.Context, from uint64) error {
	head, err := s.Head(ctx)
	if err != nil {
		return err
	}
	if from > head.Version {
		return errors.Annotatef(ErrGone, "version %d was never made", from)
	}
	return nil
}

func eventOf(entry Entry, before, after *resource.Snapshot) Event {
	e := Event{Version: entry.Version, OpID: entry.OpID, At: entry.At, Changes: []EventChange{}}
	for _, d := range resource.Diff(before, after) {
		e.Changes = append(e.Changes, EventChange{d.Ref, d.Action, resource.Document{Resource: d.After}})
	}
	return e
}
