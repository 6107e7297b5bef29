package telemetry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// appendValue appends v as encoding/json writes it. The types that requests' lines hold go
// without reflection.
func appendValue(line []byte, v any) ([]byte, error) {
	switch v := v.(type) {
	case string:
		return appendString(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(line, v, 10), nil
	case bool:
		return strconv.AppendBool(line, v), nil
	}
	return appendAny(line, v)
}

func appendAny(line []byte, v any) ([]byte, error) {
	text, err := json.Marshal(v)
	return append(line, text...), errors.Trace(err)
}

// appendString appends s with quotes. Only plain text goes without encoding/json, which
// knows what else must be escaped.
func appendString(line []byte, s string) ([]byte, error) {
	if !isPlain(s) {
		return appendAny(line, s)
	}
	line = append(line, '"')
	line = append(line, s...)
	return append(line, '"'), nil
}

// isPlain reports whether s stands for itself in JSON, also within HTML.
func isPlain(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c < ' ' || c > '~':
			return false
		case c == '"' || c == '\\' || c == '<' || c == '>' || c == '&':
			return false
		}
	}
	return true
}

// lastYear is the last one that the format of times can hold.
const lastYear = 9999

func appendTime(line []byte, t time.Time) ([]byte, error) {
	if y := t.Year(); y < 0 || y > lastYear {
		return appendAny(line, t)
	}
	line = append(line, '"')
	line = t.AppendFormat(line, time.RFC3339Nano)
	return append(line, '"'), nil
}
