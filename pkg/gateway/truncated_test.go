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

// responseHead is a response header without the fields that frame the body.
const responseHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Type: text/event-stream\r\n"

// framings build complete responses by the way they are framed.
var framings = map[string]func(body string) string{
	"close": func(body string) string { return responseHead + "\r\n" + body },
	"length": func(body string) string {
		return responseHead + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	},
	"chunks": func(body string) string {
		text := responseHead + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += chunk(body)
		}
		return text + "0\r\n\r\n"
	},
}

// numberedEvents returns the events whose IDs lie in [from, to].
func numberedEvents(from, to int, lineEnd string) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d%sdata: t%s%s", i, lineEnd, lineEnd, lineEnd)
	}
	return text
}

// truncatedStream is a stream of three events of which only the first length bytes are sent.
type truncatedStream struct {
	lineEnd string
	length  int
}

func (c truncatedStream) sent() string { return numberedEvents(1, 3, c.lineEnd)[:c.length] }

// completeEvents returns how many events were sent completely: with at least the CR of the blank line
// after them.
func (c truncatedStream) completeEvents() int {
	each := len(numberedEvents(1, 1, c.lineEnd))
	length := c.length
	if c.lineEnd == "\r\n" {
		length++
	}
	return length / each
}

// insideEvent reports whether the stream was truncated inside an event.
func (c truncatedStream) insideEvent() bool {
	return c.length > len(numberedEvents(1, c.completeEvents(), c.lineEnd))
}

// resetHealth makes the gateway forget its upstreams' failures and prefer the first one again.
func (env *testEnv) resetHealth() {
	env.gateway.health.Prune(upstream.NewSet(nil), time.Now())
	env.preferFirst()
}

// serveTruncated makes the first upstream send the number of bytes that the path ends with, and the
// second one resume after the event that it is asked for.
func (env *testEnv) serveTruncated(framing func(string) string, lineEnd string) {
	env.startUpstreams(func(rw http.ResponseWriter, r *http.Request) {
		cut, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
		respondRaw(framing(truncatedStream{lineEnd: lineEnd, length: cut}.sent()))(rw, r)
	}, func(rw http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("X-After"))
		io.WriteString(rw, numberedEvents(after+1, 3, lineEnd))
	})
}

// Guards against relaying a stream that ends inside an event as complete.
func TestStreamsThatEndInsideAnEventDontLookComplete(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) { requireCutAtEventBoundaries(t, framing, "\n") })
	}
}

// Guards against events that are delayed, or lost when a stream breaks, because their lines end in CR.
func TestStreamsOfAnyLineEndAreCutAtTheirEvents(t *testing.T) {
	for framingName, framing := range framings {
		for lineEndName, lineEnd := range map[string]string{"CRLF": "\r\n", "CR": "\r"} {
			t.Run(framingName+" "+lineEndName, func(t *testing.T) { requireCutAtEventBoundaries(t, framing, lineEnd) })
		}
	}
}

// requireCutAtEventBoundaries truncates a stream after each of its bytes.
func requireCutAtEventBoundaries(t *testing.T, framing func(string) string, lineEnd string) {
	env := newTestEnv(t)
	env.serveTruncated(framing, lineEnd)
	for cut := 1; cut < len(numberedEvents(1, 3, lineEnd)); cut++ {
		c := truncatedStream{lineEnd: lineEnd, length: cut}
		env.requireBroken(c)
		env.requireResumed(c)
	}
}

func (env *testEnv) requireBroken(c truncatedStream) {
	env.resetHealth()
	resp, err := env.client.Do(env.newRequest(fmt.Sprintf("/stream/%d", c.length)))
	require.NoError(env.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case !c.insideEvent():
		require.NoError(env.t, err, "cut at %d", c.length)
		require.Equal(env.t, c.sent(), string(data), "cut at %d", c.length)
	case c.completeEvents() == 0:
		require.Equal(env.t, http.StatusBadGateway, resp.StatusCode, "cut at %d", c.length)
	default:
		require.Error(env.t, err, "cut at %d: %q", c.length, data)
		require.Equal(env.t, numberedEvents(1, c.completeEvents(), c.lineEnd), string(data), "cut at %d", c.length)
	}
}

func (env *testEnv) requireResumed(c truncatedStream) {
	env.resetHealth()
	status, body, _ := env.get(fmt.Sprintf("/resume/%d", c.length))
	require.Equal(env.t, http.StatusOK, status, "cut at %d", c.length)
	want := numberedEvents(1, 3, c.lineEnd)
	if !c.insideEvent() {
		want = c.sent()
	}
	require.Equal(env.t, want, body, "cut at %d", c.length)
}

// Guards against treating an upstream as healthy that ends a stream inside an event, and against
// suspending one that sends complete streams without framing.
func TestOnlyAnEndInsideAnEventIsBlamed(t *testing.T) {
	for text, usable := range map[string]bool{numberedEvents(1, 2, "\n") + "id: 3\nda": false, numberedEvents(1, 2, "\n"): true} {
		env := newTestEnv(t)
		env.startUpstreams(respondRaw(framings["close"](text)))
		resp, err := env.client.Do(env.newRequest("/stream/"))
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		require.Equal(t, usable, err == nil)
		_, got := env.gateway.health.Usable(env.instances[0].Life(), time.Now())
		require.Equal(t, usable, got)
	}
}
