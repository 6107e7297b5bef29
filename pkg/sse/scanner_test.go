package sse

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// piece is what a Scanner took off a stream.
type piece struct {
	text  string
	event bool
}

// scan gives the pieces of a stream that comes in parts, and what is left.
func scan(s *Scanner, parts ...string) (pieces []piece, rest string) {
	var buf []byte
	for _, part := range parts {
		buf = append(buf, part...)
		for {
			n, event := s.Scan(buf)
			if n == 0 {
				break
			}
			pieces = append(pieces, piece{text: string(buf[:n]), event: event})
			buf = buf[n:]
		}
	}
	return pieces, string(buf)
}

func eventsOf(pieces []piece) (texts []string) {
	for _, p := range pieces {
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
			pieces, rest := scan(new(Scanner), first+second+"data: c"+end)
			require.Equal(t, []string{first, second}, eventsOf(pieces))
			require.Equal(t, "data: c"+end, rest)
		})
	}
}

// Guards against an event that waits for bytes of the next one though it is whole.
func TestAnEventIsGivenWithItsLastByte(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		pieces, _ := scan(new(Scanner), "data: a"+end+end)
		require.Len(t, eventsOf(pieces), 1, "%q", end)
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
		_, rest := scan(s, text)
		require.Equal(t, inside, s.Inside([]byte(rest)), "%q", text)
	}
}

// text draws a stream of lines, blank ones and comments too, in ends that change.
func drawStream(t *rapid.T) string {
	var b strings.Builder
	for range rapid.IntRange(0, 20).Draw(t, "lines") {
		b.WriteString(rapid.SampledFrom([]string{"", "", "data: x", "id: 7", ": c"}).Draw(t, "line"))
		b.WriteString(rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end"))
	}
	return b.String() + rapid.SampledFrom([]string{"", "data", ":"}).Draw(t, "rest")
}

// Guards against events that are lost, doubled or joined by where reads happen to cut the stream.
func TestAnyCutGivesTheSameEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawStream(t)
		whole := new(Scanner)
		want, wantRest := scan(whole, text)
		var parts []string
		for left := text; left != ""; {
			k := rapid.IntRange(1, len(left)).Draw(t, "cut")
			parts, left = append(parts, left[:k]), left[k:]
		}
		cut := new(Scanner)
		got, rest := scan(cut, parts...)
		requireSame(t, text, want, got, wantRest, rest)
		if whole.Inside([]byte(wantRest)) != cut.Inside([]byte(rest)) {
			t.Fatalf("%q: inside an event or not, by the cut", text)
		}
	})
}

func requireSame(t fataler, text string, want, got []piece, wantRest, rest string) {
	if fmt.Sprint(eventsOf(want)) != fmt.Sprint(eventsOf(got)) || wantRest != rest {
		t.Fatalf("%q: %+v and %q whole, %+v and %q in parts", text, want, wantRest, got, rest)
	}
	all := ""
	for _, p := range got {
		all += p.text
	}
	if all+rest != text {
		t.Fatalf("%q: %q leave", text, all+rest)
	}
}

// lines parses a stream in one pass, without state: the fields of each event that ends.
func lines(text string) (events [][]string) {
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
		want, wantRest := scan(new(Scanner), text)
		got, rest := scan(s, text[:cut], text[cut:])
		requireSame(t, text, want, got, wantRest, rest)
		var parsed [][]string
		for _, e := range eventsOf(got) {
			parsed = append(parsed, lines(e)...)
		}
		if s.Whole([]byte(rest)) {
			parsed = append(parsed, lines(rest)...)
		}
		if fmt.Sprintf("%q", parsed) != fmt.Sprintf("%q", lines(text)) {
			t.Fatalf("%q: %q in place of %q", text, parsed, lines(text))
		}
	})
}

// fataler is a test, a check of rapid or a fuzz target.
type fataler interface{ Fatalf(string, ...any) }
