package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countedTokens returns what the test's organisation is counted to have got.
func (env *testEnv) countedTokens() float64 { return env.gateway.shares.Own(time.Now())["org"].Got }

// Guards against counting streams that never began. Engines fail or refuse some streams, and callers
// leave others before the first event; on a small router that is a fifth of its streams. If they were
// counted, an organisation whose callers use that router would seem to have got more than it has, and
// another one, which is limited to a multiple of that, would get twice its due:
//
//	organisation_use router=front-hall-c-6 got=378118 begun=298006
//	organisation_use router=front-hall-a-2 got=691776 begun=666065 ahead=1.75
func TestStreamsThatNeverBeganAreNotCounted(t *testing.T) {
	for name, engine := range map[string]http.HandlerFunc{
		"failure": respondStatus(500),
		"refusal": func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Not-Run", "1"); rw.WriteHeader(503) },
		"broken":  respondRaw("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nTransfer-Encoding: chunked\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(engine)
			resp, err := env.client.Do(env.newRequest("/stream/", "X-Tokens", "1000"))
			if err == nil {
				resp.Body.Close()
			}
			env.waitIdle()
			require.Positive(t, env.upstreamRequests())
			require.InDelta(t, 0, env.countedTokens(), 1)
		})
	}
}

// Guards against the same for callers that leave before the first event, and against not counting
// streams whose callers leave after it.
func TestStreamsThatBeganAreCountedThoughTheirCallerLeaves(t *testing.T) {
	for _, started := range []bool{false, true} {
		env := newTestEnv(t)
		sent := make(chan struct{})
		env.startUpstreams(func(rw http.ResponseWriter, r *http.Request) {
			if started {
				io.WriteString(rw, "id: 1\n\n")
				rw.(http.Flusher).Flush()
			}
			close(sent)
			<-r.Context().Done()
		})
		ctx, leave := cancelableContext(t)
		readErrs := make(chan error, 1)
		go func() {
			resp, err := env.client.Do(env.newRequest("/stream/", "X-Tokens", "1000").WithContext(ctx))
			if err == nil {
				_, err = resp.Body.Read(make([]byte, 1))
				resp.Body.Close()
			}
			readErrs <- err
		}()
		<-sent
		if started {
			require.NoError(t, <-readErrs)
		}
		require.Positive(t, env.countedTokens(), "counted while the stream runs")
		leave()
		env.waitIdle()
		require.Equal(t, started, env.countedTokens() > 1)
	}
}

// cancelableContext returns a context that ends with the test or when it is canceled.
func cancelableContext(t *testing.T) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return ctx, cancel
}

// waitIdle waits until no request is being served.
func (env *testEnv) waitIdle() {
	require.Eventually(env.t, func() bool { return env.gateway.Active() == 0 }, 10*time.Second, time.Millisecond)
}
