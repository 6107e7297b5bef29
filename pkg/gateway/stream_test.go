package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// events streams the events from, up to and with, to.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
	}
	return text
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nTransfer-Encoding: chunked\r\nX-First: %s\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// An engine is lost in the middle of an event. The stream goes on at another engine after
// the last whole event, and the caller sees one stream with the head of the first.
func TestStreamsGoOnAtAnotherEngine(t *testing.T) {
	w := newWorld(t)
	w.upstreams(breaks(fmt.Sprintf(streamHead, "a")+chunk(events(1, 2)+"id: 3\nda")), func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-First", "b")
		io.WriteString(rw, events(3, 4))
	})
	status, body, header := w.get("/resume/")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 4), body)
	require.Equal(t, "a", header.Get("X-First"))
	require.Equal(t, "2", w.seen[1].Header.Get("X-After"))
}

// The same on a route whose streams can't go on: the answer must not look complete.
func TestBrokenStreamsDontLookComplete(t *testing.T) {
	w := newWorld(t)
	w.upstreams(breaks(fmt.Sprintf(streamHead, "a")+chunk(events(1, 2))), says("never"))
	resp, err := w.client.Do(w.request("/stream/"))
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, events(1, 2), string(data))
	require.Equal(t, 1, w.runs())
}

// The engine breaks off, the stream is to go on elsewhere, and the caller's time ends
// before it does. Ended in order, the head that was sent would make the rest look whole.
func TestStreamsThatCantGoOnDontLookComplete(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"failure": fails(500),
		"refusal": func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Not-Run", "1"); rw.WriteHeader(503) },
		"plain":   fails(404),
		"silence": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(breaks(fmt.Sprintf(streamHead, "a")+chunk(events(1, 2))), second)
			resp, err := w.client.Do(w.request("/resume/", "X-Deadline", "300"))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

func TestStreamsBeforeTheirFirstEventMayMove(t *testing.T) {
	w := newWorld(t)
	w.upstreams(breaks(fmt.Sprintf(streamHead, "a")), says(events(1, 2)))
	status, body, _ := w.get("/resume/")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 2), body)
}

// An engine fails part of its requests, while it says that it is healthy. A stream that
// may go on elsewhere may as well begin there.
func TestResumableStreamsAreRepeatedAfterAFailure(t *testing.T) {
	w := newWorld(t)
	w.upstreams(fails(500), says(events(1, 2)))
	status, body, _ := w.get("/resume/")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 2), body)

	w = newWorld(t)
	w.upstreams(fails(500), says(events(1, 2)))
	status, _, _ = w.get("/stream/")
	require.Equal(t, 500, status)
	require.Equal(t, 1, w.runs())
}

func TestEngineWithoutTimeIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	cfg := *w.config()
	cfg.Version = 2
	cfg.Services = append(cfg.Services[:0:0], cfg.Services...)
	cfg.Services[0].Engine = engineOf(1)
	w.catalog.Adopt(&cfg, "test")
	w.upstreams(says(events(1, 1)))
	w.gateway.ledger.SetOthers(fullLoad())
	status, _, header := w.get("/stream/", "X-Tokens", "100")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, w.runs())
}
