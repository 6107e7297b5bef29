package forward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: token%d\n\n", n, n) }

func push(t *testing.T, e *Events, data string) string {
	whole, _, ok := e.Push([]byte(data))
	require.True(t, ok)
	return string(whole)
}

// An engine breaks off in the middle of an event and another goes on after the last whole
// one. Passed on as they came, the two halves would join into an event that neither made.
func TestEventsGoOnAfterTheLastWholeOne(t *testing.T) {
	e := new(Events)
	require.Equal(t, event(1)+event(2), push(t, e, event(1)+event(2)+"id: 3\ndata: tok"))
	last, _ := e.Last()
	require.EqualValues(t, 2, last)
	e.Break()
	require.Equal(t, event(3), push(t, e, event(2)+event(3)), "an event that was let through is not let through again")
	require.Zero(t, e.Rest())
}

func TestEventsOfAResumedCaller(t *testing.T) {
	e := Resumed(2)
	require.Equal(t, event(3), push(t, e, event(1)+event(2)+event(3)))
}

func TestEventsWithoutEndAreRefused(t *testing.T) {
	_, _, ok := new(Events).Push(bytes.Repeat([]byte("x"), maxPending+1))
	require.False(t, ok)
}

func TestEventsDontDependOnHowTheyAreCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		n := rapid.IntRange(0, 30).Draw(t, "events")
		for i := range n {
			end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end")
			all.WriteString(strings.ReplaceAll(event(i), "\n", end))
		}
		e, got, count, data := new(Events), "", 0, all.String()
		for len(data) > 0 {
			k := rapid.IntRange(1, len(data)).Draw(t, "cut")
			whole, events, _ := e.Push([]byte(data[:k]))
			got += string(whole)
			count += events
			data = data[k:]
		}
		rest, err := e.End()
		if err != nil {
			t.Fatal(err)
		}
		if got += string(rest); got != all.String() {
			t.Fatalf("got %q, want %q", got, all.String())
		}
		if last, _ := e.Last(); count < n-1 || n > 0 && last != int64(n-1) {
			t.Fatalf("%d events of %d, the last is %d", count, n, last)
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(event(1)+event(2)), 3)
	f.Add([]byte("id: x\n\n\n\nid:\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = max(0, min(cut, len(data)))
		e := new(Events)
		first, _, _ := e.Push(data[:cut])
		got := len(first)
		second, _, _ := e.Push(data[cut:])
		if got+len(second)+e.Rest() > len(data) {
			t.Fatal("more bytes leave than came")
		}
	})
}
