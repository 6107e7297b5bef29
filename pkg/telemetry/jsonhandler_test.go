package telemetry

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type named string

type nested struct {
	Name  string  `json:"name"`
	Ratio float64 `json:"ratio,omitempty"`
}

// Whoever reads the log reads it as before, whatever callers put into what it quotes.
func TestLinesAreThoseOfTheLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.OneOf(
			rapid.String().AsAny(), rapid.StringMatching(`[ -~]*`).AsAny(), rapid.Int().AsAny(), rapid.Int64().AsAny(), rapid.Bool().AsAny(),
			rapid.Float64Range(-1e30, 1e30).AsAny(), rapid.Map(rapid.String(), func(s string) any { return named(s) }),
			rapid.Map(rapid.String(), func(s string) any { return []nested{{Name: s, Ratio: 0.25}} }),
			rapid.Just[any](nil), rapid.Just[any](time.Second), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) any { return string(b) }),
		)
		e := &log.Entry{
			Fields:    rapid.MapOfN(rapid.String(), values, 0, 20).Draw(t, "fields"),
			Level:     rapid.SampledFrom([]log.Level{log.DebugLevel, log.InfoLevel, log.WarnLevel, log.ErrorLevel, log.FatalLevel}).Draw(t, "level"),
			Message:   rapid.String().Draw(t, "message"),
			Timestamp: time.Unix(rapid.Int64Range(-1<<33, 1<<33).Draw(t, "s"), rapid.Int64Range(0, 1e9-1).Draw(t, "ns")).In(rapid.SampledFrom([]*time.Location{time.UTC, time.FixedZone("x", 19800)}).Draw(t, "zone")),
		}
		var want, got bytes.Buffer
		if err := json.New(&want).HandleLog(e); err != nil {
			t.Fatal(err)
		}
		h := newJSONHandler(&got)
		for range 2 { // the second line must not hold anything of the first
			got.Reset()
			if err := h.HandleLog(e); err != nil {
				t.Fatal(err)
			}
			if got.String() != want.String() {
				t.Fatalf("got %s\nwant %s", got.String(), want.String())
			}
		}
	})
}

// A value that can't be written must not leave half a line.
func TestValuesThatCannotBeWritten(t *testing.T) {
	var out bytes.Buffer
	h := newJSONHandler(&out)
	require.Error(t, h.HandleLog(&log.Entry{Fields: log.Fields{"a": 1, "b": func() {}}}))
	require.Empty(t, out.String())
	require.NoError(t, h.HandleLog(&log.Entry{Fields: log.Fields{"error": errors.New("x").Error()}, Timestamp: time.Unix(0, 0).UTC()}))
	require.Equal(t, `{"fields":{"error":"x"},"level":"debug","timestamp":"1970-01-01T00:00:00Z","message":""}`+"\n", out.String())
}
