package dispatch

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// readAll returns the raw events of src and the error that ended it.
func readAll(src io.Reader, max int) (events [][]byte, err error) {
	r := newEventReader(src, max)
	defer r.release()
	for {
		raw, err := r.nextBuffered()
		for ; raw != nil; raw, err = r.nextBuffered() {
			events = append(events, bytes.Clone(raw))
		}
		if err != nil {
			return events, err
		}
		if err := r.fill(); err != nil {
			return events, err
		}
	}
}

// Guards against events over the size limit that are accepted if a single read returns all of them.
func TestEventSizeLimitDoesNotDependOnReads(t *testing.T) {
	const max = 32
	for size := max - 4; size <= max+4; size++ {
		for _, end := range []string{"\n", "\r\n", "\r"} {
			text := "data: a" + end + end
			text += "data: " + strings.Repeat("b", size-len("data: ")-2*len(end)) + end + end
			whole, wholeErr := readAll(strings.NewReader(text+"data: c"), max)
			single, singleErr := readAll(iotest.OneByteReader(strings.NewReader(text+"data: c")), max)
			checkEqual(t, "final error", wholeErr.Error(), singleErr.Error())
			checkEqual(t, "events", whole, single)
			checkEqual(t, "event accepted", size <= max, len(whole) == 2)
		}
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte(eventsText(0, 3) + doneText))
	f.Add([]byte("\r\n\r\ndata: {}\r\n\r\n: ping\n\nid: 9\ndata:x\n\n"))
	f.Add([]byte("id: 99999999999999999999\n\n"))
	f.Add([]byte("data: " + strings.Repeat("x", 600) + "\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const max = 512
		whole, wholeErr := readAll(bytes.NewReader(input), max)
		single, singleErr := readAll(iotest.OneByteReader(bytes.NewReader(input)), max)
		checkEqual(t, "final error", wholeErr.Error(), singleErr.Error())
		checkEqual(t, "events", whole, single)
		for _, raw := range whole {
			checkEqual(t, "event is part of the input", true, bytes.Contains(input, raw))
			e, err := parseEvent(raw)
			if err == nil && e.data != nil && !e.done {
				completionTokensOf(e.data)
			}
		}
	})
}

func TestUsageIsNotReadFromText(t *testing.T) {
	for text, want := range map[string]int{
		`{"usage":{"completion_tokens": 12}}`:              12,
		`{"text":"\"completion_tokens\":99","usage":null}`: 0,
		`{"usage":{"completion_tokens":-3}}`:               0,
		`{"usage":{"completion_tokens":9999999999999999}}`: 0,
	} {
		got, _ := completionTokensOf([]byte(text))
		checkEqual(t, text, want, got)
	}
}

func TestMeter(t *testing.T) {
	slot := new(fakeSlot)
	began := time.Unix(100, 0)
	m := meter{slot: slot, sentAt: began}
	for n := range 40 {
		m.observe(began.Add(time.Duration(50+n)*time.Millisecond), []byte("{}"))
	}
	m.observe(began.Add(time.Second), []byte(`{"usage":{"completion_tokens":38}}`))
	checkEqual(t, "progress", []wire.Units{16, 32}, slot.progress)
	checkEqual(t, "time to first event", 50*time.Millisecond, m.timeToFirst())
	checkEqual(t, "mean interval", time.Millisecond, m.meanInterval())
	checkEqual(t, "tokens", 38, m.tokens())
}
