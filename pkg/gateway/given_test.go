package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// givenTokens is what the organisation of the test is counted to have got.
func (w *world) givenTokens() float64 { return w.gateway.shares.Own(time.Now())["org"].Got }

// Streams are given to engines that fail, refuse them, or are left by their callers before they
// begin. At a small router that is a fifth of what it gives. Counted as got, it makes the
// organisation whose callers all come there seem to have what it never had, and another one, which
// is held to a multiple of that, keeps twice as much:
//
//	organisation_use router=front-hall-c-6 got=378118 begun=298006
//	organisation_use router=front-hall-a-2 got=691776 begun=666065 ahead=1.75
func TestWhatNeverBeganIsNotCounted(t *testing.T) {
	for name, engine := range map[string]http.HandlerFunc{
		"failure": fails(500),
		"refusal": func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Not-Run", "1"); rw.WriteHeader(503) },
		"broken":  breaks("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nTransfer-Encoding: chunked\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(engine)
			resp, err := w.client.Do(w.request("/stream/", "X-Tokens", "1000"))
			if err == nil {
				resp.Body.Close()
			}
			w.settled()
			require.Positive(t, w.runs())
			require.InDelta(t, 0, w.givenTokens(), 1)
		})
	}
}

// The same for a caller that leaves before the first event. One that leaves later got something.
func TestWhatBeganIsCountedThoughItsCallerLeaves(t *testing.T) {
	for _, begins := range []bool{false, true} {
		w := newWorld(t)
		sent := make(chan struct{})
		w.upstreams(func(rw http.ResponseWriter, r *http.Request) {
			if begins {
				io.WriteString(rw, "id: 1\n\n")
				rw.(http.Flusher).Flush()
			}
			close(sent)
			<-r.Context().Done()
		})
		ctx, leave := contextOf(t)
		answers := make(chan error, 1)
		go func() {
			resp, err := w.client.Do(w.request("/stream/", "X-Tokens", "1000").WithContext(ctx))
			if err == nil {
				_, err = resp.Body.Read(make([]byte, 1))
				resp.Body.Close()
			}
			answers <- err
		}()
		<-sent
		if begins {
			require.NoError(t, <-answers)
		}
		require.Positive(t, w.givenTokens(), "while it runs")
		leave()
		w.settled()
		require.Equal(t, begins, w.givenTokens() > 1)
	}
}

// contextOf gives a context that ends with the test or when it is left.
func contextOf(t *testing.T) (context.Context, context.CancelFunc) {
	ctx, leave := context.WithCancel(t.Context())
	t.Cleanup(leave)
	return ctx, leave
}

// settled waits until no request is served any more.
func (w *world) settled() {
	require.Eventually(w.t, func() bool { return w.gateway.Active() == 0 }, 10*time.Second, time.Millisecond)
}
