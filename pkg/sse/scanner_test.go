package sse

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// chunk is what one call of Scan returned.
type chunk struct {
	text  string
	event bool
}

// scanAll returns the chunks of a stream that arrives in parts, and the rest.
func scanAll(s *Scanner, parts ...string) (chunks []chunk, rest string) {
	var buf []byte
	for _, part := range parts {
		buf = append(buf, part...)
		for {
			n, event := s.Scan(buf)
			if n == 0 {
				break
			}
			chunks = append(chunks, chunk{text: string(buf[:n]), event: event})
			buf = buf[n:]
		}
	}
	return chunks, string(buf)
}

func eventsOf(chunks []chunk) (texts []string) {
	for _, p := range chunks {
		if p.event {
			texts = append(texts, p.text)
		}
	}
	return texts
}

func TestEventsEndWithABlankLine(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		t.Run(name, func(t *testing.T) {
			first, second := "id: 1"+end+"data: a"+end+end, ": comment"+end+"data: b"+end+end
			chunks, rest := scanAll(new(Scanner), first+second+"data: c"+end)
			require.Equal(t, []string{first, second}, eventsOf(chunks))
			require.Equal(t, "data: c"+end, rest)
		})
	}
}

// Guards against a complete event that is held back until bytes of the next one arrive.
func TestAnEventIsGivenWithItsLastByte(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		chunks, _ := scanAll(new(Scanner), "data: a"+end+end)
		require.Len(t, eventsOf(chunks), 1, "%q", end)
	}
}

func TestAStreamEndsInsideAnEventOrNot(t *testing.T) {
	for text, inside := range map[string]bool{
		"": false, "\n": false, "\r\n\r": false, "data: a\n\n": false, "data: a\r\n\r\n": false,
		"data: a\r\n\r": false, "data: a\r\r": false, "data: a\r\r\n": false, "data: a\n\n\n": false,
		": comment\n": false, "data: a\n\n: comment\r\n": false,
		"d": true, "data: a": true, "data: a\n": true, "data: a\r": true, "data: a\r\n": true,
		"data: a\n\ndata: b\n": true, ": comm": true, ": comment\ndata: b\n": true,
	} {
		s := new(Scanner)
		_, rest := scanAll(s, text)
		require.Equal(t, inside, s.InsideEvent([]byte(rest)), "%q", text)
	}
}

// drawStream draws a stream of lines, including blank lines and comments, with varying terminators.
func drawStream(t *rapid.T) string {
	var b strings.Builder
	for range rapid.IntRange(0, 20).Draw(t, "lines") {
		b.WriteString(rapid.SampledFrom([]string{"", "", "data: x", "id: 7", ": c"}).Draw(t, "line"))
		b.WriteString(rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end"))
	}
	return b.String() + rapid.SampledFrom([]string{"", "data", ":"}).Draw(t, "rest")
}

// Guards against events that are lost, duplicated or merged depending on where reads split the
// stream.
func TestAnyCutGivesTheSameEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawStream(t)
		atOnce := new(Scanner)
		want, wantRest := scanAll(atOnce, text)
		var parts []string
		for left := text; left != ""; {
			k := rapid.IntRange(1, len(left)).Draw(t, "cut")
			parts, left = append(parts, left[:k]), left[k:]
		}
		inParts := new(Scanner)
		got, rest := scanAll(inParts, parts...)
		requireSameChunks(t, text, want, got, wantRest, rest)
		if atOnce.InsideEvent([]byte(wantRest)) != inParts.InsideEvent([]byte(rest)) {
			t.Fatalf("%q: InsideEvent depends on the split", text)
		}
	})
}

func requireSameChunks(t failer, text string, want, got []chunk, wantRest, rest string) {
	if fmt.Sprint(eventsOf(want)) != fmt.Sprint(eventsOf(got)) || wantRest != rest {
		t.Fatalf("%q: got %+v and %q at once, but %+v and %q in parts", text, want, wantRest, got, rest)
	}
	all := ""
	for _, p := range got {
		all += p.text
	}
	if all+rest != text {
		t.Fatalf("%q: chunks and rest join to %q", text, all+rest)
	}
}

// parseEvents parses a stream in one pass, without a Scanner, and returns the fields of each
// complete event.
func parseEvents(text string) (events [][]string) {
	var event []string
	rest := []byte(text)
	for len(rest) > 0 {
		if !bytes.ContainsAny(rest, "\r\n") {
			return events
		}
		var line []byte
		line, rest = CutLine(rest)
		switch {
		case len(line) > 0:
			event = append(event, string(line))
		case event != nil:
			events, event = append(events, event), nil
		}
	}
	return events
}

func FuzzScanner(f *testing.F) {
	f.Add("data: a\r\n\r\ndata: b\n\n", 9)
	f.Add("data: a\r\r\ndata: b\n\r\n: c\r", 9)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		cut = max(0, min(cut, len(text)))
		s := new(Scanner)
		want, wantRest := scanAll(new(Scanner), text)
		got, rest := scanAll(s, text[:cut], text[cut:])
		requireSameChunks(t, text, want, got, wantRest, rest)
		var parsed [][]string
		for _, e := range eventsOf(got) {
			parsed = append(parsed, parseEvents(e)...)
		}
		if s.Complete([]byte(rest)) {
			parsed = append(parsed, parseEvents(rest)...)
		}
		if fmt.Sprintf("%q", parsed) != fmt.Sprintf("%q", parseEvents(text)) {
			t.Fatalf("%q: got %q, want %q", text, parsed, parseEvents(text))
		}
	})
}

// failer is a test, a rapid check or a fuzz target.
type failer interface{ Fatalf(string, ...any) }
