package forward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: token%d\n\n", n, n) }

func push(t *testing.T, e *EventSplitter, data string) string {
	whole, _, ok := e.Push([]byte(data))
	require.True(t, ok)
	return string(whole)
}

// An engine breaks off in the middle of an event and another one resumes after the last complete
// event. If the bytes were relayed as they arrive, the two parts would join into an event that
// neither sent.
func TestEventsGoOnAfterTheLastWholeOne(t *testing.T) {
	e := new(EventSplitter)
	require.Equal(t, eventText(1)+eventText(2), push(t, e, eventText(1)+eventText(2)+"id: 3\ndata: tok"))
	last, _ := e.LastID()
	require.EqualValues(t, 2, last)
	e.DiscardPartial()
	require.Equal(t, eventText(3), push(t, e, eventText(2)+eventText(3)), "an event must not be returned twice")
	require.Zero(t, e.PendingBytes())
}

func TestEventsOfAResumedCaller(t *testing.T) {
	e := ResumeAfter(2)
	require.Equal(t, eventText(3), push(t, e, eventText(1)+eventText(2)+eventText(3)))
}

func TestEventsWithoutEndAreRefused(t *testing.T) {
	_, _, ok := new(EventSplitter).Push(bytes.Repeat([]byte("x"), MaxEventSize+1))
	require.False(t, ok)
}

func TestEventsDontDependOnHowTheyAreCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		n := rapid.IntRange(0, 30).Draw(t, "events")
		for i := range n {
			end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end")
			all.WriteString(strings.ReplaceAll(eventText(i), "\n", end))
		}
		e, got, count, data := new(EventSplitter), "", 0, all.String()
		for len(data) > 0 {
			k := rapid.IntRange(1, len(data)).Draw(t, "cut")
			whole, events, _ := e.Push([]byte(data[:k]))
			got += string(whole)
			count += events
			data = data[k:]
		}
		rest, err := e.Finish()
		if err != nil {
			t.Fatal(err)
		}
		if got += string(rest); got != all.String() {
			t.Fatalf("got %q, want %q", got, all.String())
		}
		if last, _ := e.LastID(); count < n-1 || n > 0 && last != int64(n-1) {
			t.Fatalf("got %d events of %d, the last ID is %d", count, n, last)
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(eventText(1)+eventText(2)), 3)
	f.Add([]byte("id: x\n\n\n\nid:\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = max(0, min(cut, len(data)))
		e := new(EventSplitter)
		first, _, _ := e.Push(data[:cut])
		got := len(first)
		second, _, _ := e.Push(data[cut:])
		if got+len(second)+e.PendingBytes() > len(data) {
			t.Fatal("more bytes were returned than pushed")
		}
	})
}
