package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// cutHead is the head of an answer to a test's request, without what frames the body.
const cutHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nContent-Type: text/event-stream\r\n"

// framings say how an answer is framed that its upstream ends in order.
var framings = map[string]func(body string) string{
	"close": func(body string) string { return cutHead + "\r\n" + body },
	"length": func(body string) string {
		return cutHead + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	},
	"chunks": func(body string) string {
		text := cutHead + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += chunk(body)
		}
		return text + "0\r\n\r\n"
	},
}

// shortEvents are the events from, up to and with, to.
func shortEvents(from, to int, end string) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d%sdata: t%s%s", i, end, end, end)
	}
	return text
}

// cutStream is a stream of three events of which the first cut bytes come.
type cutStream struct {
	end string
	cut int
}

func (c cutStream) sent() string { return shortEvents(1, 3, c.end)[:c.cut] }

// whole is how many events have come whole: the blank line after them is there, at least its CR.
func (c cutStream) whole() int {
	each := len(shortEvents(1, 1, c.end))
	blank := c.cut
	if c.end == "\r\n" {
		blank++
	}
	return blank / each
}

// inside is whether the cut lies inside an event.
func (c cutStream) inside() bool {
	return c.cut > len(shortEvents(1, c.whole(), c.end))
}

// forgive makes the gateway forget how its upstreams did, and prefer the first one again.
func (w *world) forgive() {
	w.gateway.health.Prune(upstream.NewSet(nil))
	w.handicap()
}

// serveCut has the first upstream send what the path's last part tells, and the second one go on
// after the event that it is asked for.
func (w *world) serveCut(framing func(string) string, end string) {
	w.upstreams(func(rw http.ResponseWriter, r *http.Request) {
		cut, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
		breaks(framing(cutStream{end: end, cut: cut}.sent()))(rw, r)
	}, func(rw http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("X-After"))
		io.WriteString(rw, shortEvents(after+1, 3, end))
	})
}

// Guards against streams that end inside an event and reach their callers as complete.
func TestStreamsThatEndInsideAnEventDontLookComplete(t *testing.T) {
	for framed, framing := range framings {
		t.Run(framed, func(t *testing.T) { requireCutAtEvents(t, framing, "\n") })
	}
}

// Guards against events that are held back, or lost at a break, as their lines end in CR.
func TestStreamsOfAnyLineEndAreCutAtTheirEvents(t *testing.T) {
	for framed, framing := range framings {
		for name, end := range map[string]string{"CRLF": "\r\n", "CR": "\r"} {
			t.Run(framed+" "+name, func(t *testing.T) { requireCutAtEvents(t, framing, end) })
		}
	}
}

// requireCutAtEvents has a stream end in order behind each of its bytes.
func requireCutAtEvents(t *testing.T, framing func(string) string, end string) {
	w := newWorld(t)
	w.serveCut(framing, end)
	for cut := 1; cut < len(shortEvents(1, 3, end)); cut++ {
		c := cutStream{end: end, cut: cut}
		w.requireBroken(c)
		w.requireResumed(c)
	}
}

func (w *world) requireBroken(c cutStream) {
	w.forgive()
	resp, err := w.client.Do(w.request(fmt.Sprintf("/stream/%d", c.cut)))
	require.NoError(w.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case !c.inside():
		require.NoError(w.t, err, "cut at %d", c.cut)
		require.Equal(w.t, c.sent(), string(data), "cut at %d", c.cut)
	case c.whole() == 0:
		require.Equal(w.t, http.StatusBadGateway, resp.StatusCode, "cut at %d", c.cut)
	default:
		require.Error(w.t, err, "cut at %d: %q", c.cut, data)
		require.Equal(w.t, shortEvents(1, c.whole(), c.end), string(data), "cut at %d", c.cut)
	}
}

func (w *world) requireResumed(c cutStream) {
	w.forgive()
	status, body, _ := w.get(fmt.Sprintf("/resume/%d", c.cut))
	require.Equal(w.t, http.StatusOK, status, "cut at %d", c.cut)
	want := shortEvents(1, 3, c.end)
	if !c.inside() {
		want = c.sent()
	}
	require.Equal(w.t, want, body, "cut at %d", c.cut)
}

// Guards against an upstream that ends a stream inside an event and is given work as if it were well, or
// one that frames nothing and is blamed for that.
func TestOnlyAnEndInsideAnEventIsBlamed(t *testing.T) {
	for text, usable := range map[string]bool{shortEvents(1, 2, "\n") + "id: 3\nda": false, shortEvents(1, 2, "\n"): true} {
		w := newWorld(t)
		w.upstreams(breaks(framings["close"](text)))
		resp, err := w.client.Do(w.request("/stream/"))
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		require.Equal(t, usable, err == nil)
		_, got := w.gateway.health.Usable(w.list[0].Life(), time.Now())
		require.Equal(t, usable, got)
	}
}
