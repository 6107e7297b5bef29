package forward

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/sse"
)

// maxPending bounds an event that is not complete yet, in bytes.
const maxPending = 1 << 20

// Events cuts a stream of server-sent events into whole ones.
//
// Guard: an upstream may break off in the middle of an event. Passed on as they come,
// the bytes before the break and those of the upstream that goes on would join into an
// event that neither made. Only whole events leave here.
type Events struct {
	scanner sse.Scanner
	// pending is what follows the last whole event, ready what Push gave.
	pending, ready []byte
	last           int64
	seen           bool
}

// Resumed returns a cutter that drops events up to and including last.
func Resumed(last int64) *Events { return &Events{last: last, seen: true} }

// Last is the id of the newest event that was let through.
func (e *Events) Last() (int64, bool) { return e.last, e.seen }

// Push takes bytes as they came and gives the whole events that are new, and blank lines between
// them. The result is valid until the next call. ok is false when an event grows beyond all bounds.
func (e *Events) Push(data []byte) (whole []byte, count int, ok bool) {
	e.pending = append(e.pending, data...)
	e.ready = e.ready[:0]
	begin := 0
	for {
		n, event := e.scanner.Scan(e.pending[begin:])
		if n == 0 {
			break
		}
		piece := e.pending[begin : begin+n]
		begin += n
		if event && e.old(piece) {
			continue
		}
		e.ready = append(e.ready, piece...)
		if event {
			count++
		}
	}
	e.pending = append(e.pending[:0], e.pending[begin:]...)
	return e.ready, count, len(e.pending) <= maxPending
}

// Rest is the number of bytes behind the last whole event.
func (e *Events) Rest() int { return len(e.pending) }

// End takes the end of the stream, and gives the bytes behind the last event. It fails with
// ErrInsideEvent where they are the beginning of another one: the stream was broken off then, however
// orderly it ended.
func (e *Events) End() ([]byte, error) {
	switch {
	case e.scanner.Inside(e.pending):
		return nil, errors.Annotatef(ErrInsideEvent, "%d bytes after event %d", len(e.pending), e.last)
	case e.scanner.Whole(e.pending) && e.old(e.pending):
		return nil, nil
	}
	return e.pending, nil
}

// Break drops what follows the last whole event, before another upstream goes on.
func (e *Events) Break() {
	e.pending = e.pending[:0]
	e.scanner = sse.Scanner{}
}

// old reports whether the event was let through before, and notes its id otherwise.
func (e *Events) old(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return false
	}
	if e.seen && id <= e.last {
		return true
	}
	e.last, e.seen = id, true
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
