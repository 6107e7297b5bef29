package dispatch

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/sse"
)

// event is one server-sent event. Its slices are valid until the next read.
type event struct {
	raw   []byte // as received, with its blank line
	data  []byte
	id    int64
	hasID bool
	done  bool // data is the end marker
}

var doneMarker = []byte("[DONE]")

// maxEventID bounds an event's ID, so that counting on from it can't overflow.
const maxEventID = 1 << 40

// parseEvent parses the lines of raw. An event without data, such as a comment, has nil data.
func parseEvent(raw []byte) (event, error) {
	e := event{raw: raw}
	for rest := raw; len(rest) > 0; {
		var line []byte
		line, rest = sse.CutLine(rest)
		if err := e.parseLine(line); err != nil {
			return event{}, err
		}
	}
	e.done = bytes.Equal(e.data, doneMarker)
	if e.data != nil && !e.done && (e.data[0] != '{' || !json.Valid(e.data)) {
		return event{}, errors.WithType(errors.New("event data is no JSON object"), errMalformed)
	}
	return e, nil
}

func (e *event) parseLine(line []byte) error {
	name, value, _ := bytes.Cut(line, colon)
	value = bytes.TrimPrefix(value, space)
	switch string(name) {
	case "data":
		if e.data != nil || len(value) == 0 {
			return errors.WithType(errors.New("event with empty or repeated data"), errMalformed)
		}
		e.data = value
	case "id":
		id, ok := parseNumber(value)
		if !ok || e.hasID {
			return errors.WithType(errors.New("event with a wrong or repeated id"), errMalformed)
		}
		e.id, e.hasID = id, true
	}
	return nil
}

func parseNumber(b []byte) (int64, bool) {
	if len(b) == 0 {
		return 0, false
	}
	var n int64
	for _, c := range b {
		if c < '0' || c > '9' || n > maxEventID {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}
