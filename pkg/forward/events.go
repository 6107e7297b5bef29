package forward

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/sse"
)

const (
	// MaxEventSize is the maximum size of an incomplete event, in bytes.
	MaxEventSize = 1 << 20
	// keptCapacity is the size, in bytes, of the buffers that a splitter keeps after a large event.
	keptCapacity = 32 << 10
)

// EventSplitter splits a stream of server-sent events into complete events.
//
// Guard: an upstream may break off in the middle of an event. If its bytes were relayed as they
// arrive, the partial event and the next upstream's bytes would join into an event that neither
// sent. So only complete events are returned.
type EventSplitter struct {
	scanner sse.Scanner
	// pending holds the bytes after the last complete event, output what Push returned last.
	pending, output []byte
	lastID          int64
	hasLast         bool
}

// ResumeAfter returns an EventSplitter that drops the events up to and including the ID last.
func ResumeAfter(last int64) *EventSplitter { return &EventSplitter{lastID: last, hasLast: true} }

// LastID returns the ID of the newest event that was returned.
func (e *EventSplitter) LastID() (int64, bool) { return e.lastID, e.hasLast }

// Push adds bytes of the stream and returns the complete events that are new, with any blank lines
// between them, and the number of those events. The result is valid until the next call. ok is
// false if an incomplete event exceeds MaxEventSize.
func (e *EventSplitter) Push(data []byte) (whole []byte, count int, ok bool) {
	e.pending = append(e.pending, data...)
	e.output = e.output[:0]
	if cap(e.output) > keptCapacity {
		e.output = nil
	}
	begin := 0
	for {
		n, event := e.scanner.Scan(e.pending[begin:])
		if n == 0 {
			break
		}
		piece := e.pending[begin : begin+n]
		begin += n
		if event && e.isDuplicate(piece) {
			continue
		}
		e.output = append(e.output, piece...)
		if event {
			count++
		}
	}
	if rest := e.pending[begin:]; cap(e.pending) > keptCapacity && len(rest) < keptCapacity/2 {
		e.pending = bytes.Clone(rest)
	} else {
		e.pending = append(e.pending[:0], rest...)
	}
	return e.output, count, len(e.pending) <= MaxEventSize
}

// PendingBytes returns the number of bytes after the last complete event.
func (e *EventSplitter) PendingBytes() int { return len(e.pending) }

// Finish marks the end of the stream and returns the bytes after the last complete event. It returns
// ErrPartialEvent if they are the beginning of another event: then the stream is incomplete, however
// its connection ended.
func (e *EventSplitter) Finish() ([]byte, error) {
	switch {
	case e.scanner.InsideEvent(e.pending):
		return nil, errors.Annotatef(ErrPartialEvent, "%d bytes after event %d", len(e.pending), e.lastID)
	case e.scanner.Complete(e.pending) && e.isDuplicate(e.pending):
		return nil, nil
	}
	return e.pending, nil
}

// DiscardPartial drops the bytes after the last complete event, before another upstream resumes the stream.
func (e *EventSplitter) DiscardPartial() {
	e.pending = nil
	e.scanner = sse.Scanner{}
}

// isDuplicate reports whether the event's ID was returned before. It records a new ID as the last
// one.
func (e *EventSplitter) isDuplicate(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return false
	}
	if e.hasLast && id <= e.lastID {
		return true
	}
	e.lastID, e.hasLast = id, true
	return false
}

func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		var line []byte
		line, event = sse.CutLine(event)
		text, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
