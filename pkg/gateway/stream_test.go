package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// events returns the events whose IDs lie in [from, to].
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
	}
	return text
}

const chunkedStreamHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nTransfer-Encoding: chunked\r\nX-First: %s\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Guards against a broken stream when an engine is lost in the middle of an event: the stream resumes
// on another engine after the last complete event, and the caller sees one stream with the header of
// the first.
func TestStreamsGoOnAtAnotherEngine(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondRaw(fmt.Sprintf(chunkedStreamHead, "a")+chunk(events(1, 2)+"id: 3\nda")), func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-First", "b")
		io.WriteString(rw, events(3, 4))
	})
	status, body, header := env.get("/resume/")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 4), body)
	require.Equal(t, "a", header.Get("X-First"))
	require.Equal(t, "2", env.received[1].Header.Get("X-After"))
}

// Guards against a stream that breaks off, on a route without resumption, and looks complete.
func TestBrokenStreamsDontLookComplete(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondRaw(fmt.Sprintf(chunkedStreamHead, "a")+chunk(events(1, 2))), respondWith("never"))
	resp, err := env.client.Do(env.newRequest("/stream/"))
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, events(1, 2), string(data))
	require.Equal(t, 1, env.upstreamRequests())
}

// Guards against a stream that breaks off and can't be resumed in time, and looks complete because the
// response ends in order after its header was sent.
func TestStreamsThatCantGoOnDontLookComplete(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"failure": respondStatus(500),
		"refusal": func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Not-Run", "1"); rw.WriteHeader(503) },
		"plain":   respondStatus(404),
		"silence": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(respondRaw(fmt.Sprintf(chunkedStreamHead, "a")+chunk(events(1, 2))), second)
			resp, err := env.client.Do(env.newRequest("/resume/", "X-Deadline", "300"))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

func TestStreamsBrokenBeforeTheirFirstEventAreRetried(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondRaw(fmt.Sprintf(chunkedStreamHead, "a")), respondWith(events(1, 2)))
	status, body, _ := env.get("/resume/")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 2), body)
}

// Guards against not retrying a resumable stream at an engine that reports itself healthy but fails a
// part of its requests: a stream that may resume elsewhere may also start there.
func TestResumableStreamsAreRetriedAfterAFailure(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondStatus(500), respondWith(events(1, 2)))
	status, body, _ := env.get("/resume/")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 2), body)

	env = newTestEnv(t)
	env.startUpstreams(respondStatus(500), respondWith(events(1, 2)))
	status, _, _ = env.get("/stream/")
	require.Equal(t, 500, status)
	require.Equal(t, 1, env.upstreamRequests())
}

func TestRequestsThatCannotMeetTheirObjectiveAreRefused(t *testing.T) {
	env := newTestEnv(t)
	cfg := *env.config()
	cfg.Version = 2
	cfg.Services = append(cfg.Services[:0:0], cfg.Services...)
	cfg.Services[0].Engine = newEngine(1)
	env.catalog.Adopt(&cfg, "test")
	env.startUpstreams(respondWith(events(1, 1)))
	env.gateway.loads.SetOthers(busyFirstInstance())
	status, _, header := env.get("/stream/", "X-Tokens", "100")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, env.upstreamRequests())
}
