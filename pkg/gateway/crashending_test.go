package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// crashAfter sends text over the connection and ends the upstream.
func crashAfter(env *testEnv, index int, text string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		env.servers[index].Listener.Close()
		io.WriteString(c, text)
		c.(*net.TCPConn).CloseWrite()
		c.Close()
	}
}

// unlist takes the upstream that got the last request off the list.
func (env *testEnv) unlist(revision catalog.Revision) {
	ran := upstream.ID(env.lastReceived().Header.Get("X-Instance"))
	env.instances = slices.DeleteFunc(slices.Clone(env.instances), func(in upstream.Instance) bool { return in.ID == ran })
	env.catalog.Replace(slices.Clone(env.instances), revision, time.Now(), "test")
}

// Guards against crashes that look like the end of an answer, which has neither a length nor chunks.
func TestCrashesThatLookLikeEndsOfAnswersCount(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nConnection: close\r\n"
	const streamHead = head + "Content-Type: text/event-stream\r\n\r\n"
	for name, c := range map[string]struct{ path, text string }{
		"call, nothing":       {"/once/x", head + "\r\n"},
		"call, part of it":    {"/once/x", head + "\r\nhel"},
		"stream, no event":    {"/stream/x", streamHead},
		"stream, in an event": {"/stream/x", streamHead + "id: 1\ndata: t"},
		"stream, two events":  {"/stream/x", streamHead + numberedEvents(1, 2, "\n")},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			handlers := make([]http.HandlerFunc, CrashLimit+2)
			for i := range handlers {
				handlers[i] = crashAfter(env, i, c.text)
			}
			env.startUpstreams(handlers...)
			for i := range CrashLimit {
				if resp, err := env.client.Do(env.newRequest(c.path)); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body) // it may break off
					resp.Body.Close()
				}
				env.unlist(catalog.Revision(2 + i))
			}
			before := env.upstreamRequests()
			status, body, _ := env.get(c.path)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Contains(t, body, "upstreams crashed while they ran this request")
			require.Equal(t, before, env.upstreamRequests())
		})
	}
}

// Guards against crashes that come after the caller has left, when nobody waits for the answer.
func TestCrashesAfterTheCallerLeftCount(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t)
			began := make(chan struct{}, 1)
			handlers := make([]http.HandlerFunc, CrashLimit+1)
			for i := range handlers {
				handlers[i] = func(rw http.ResponseWriter, r *http.Request) {
					began <- struct{}{}
					<-r.Context().Done()
					env.servers[i].Listener.Close()
				}
			}
			env.startUpstreams(handlers...)
			for i := range CrashLimit {
				ctx, leave := context.WithCancel(t.Context())
				go func() {
					<-began
					leave()
				}()
				_, err := env.client.Do(env.newRequest(path).WithContext(ctx))
				require.ErrorIs(t, err, context.Canceled)
				require.Eventually(t, func() bool { return env.gateway.lostRuns.Count() > 0 }, 5*time.Second, time.Millisecond)
				env.unlist(catalog.Revision(2 + i))
			}
			status, body, _ := env.get(path)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Contains(t, body, "upstreams crashed while they ran this request")
			require.Equal(t, CrashLimit, env.upstreamRequests())
		})
	}
}

// Guards against a request that was chosen an upstream, waits for its connection or its turn, and is sent although it
// has been refused meanwhile.
func TestARequestIsNotSentOnceItIsRefused(t *testing.T) {
	for name, part := range map[string]bool{"content": false, "part": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(hello)
			inst := env.catalog.Instances().Get("i0")
			meta := RequestMetadata{Prompt: &prompt.Prompt{Input: 2, Parts: []prompt.Part{{ID: "shared", Tokens: 1}, {ID: "own", Tokens: 1}}}}
			r := &request{contentHash: 7, meta: meta, service: &routing.Service{Name: "app"}, route: &routing.Route{}, ctx: t.Context(), start: time.Now()}
			require.True(t, env.gateway.sendable(r, inst))
			for life := range uint32(PartCrashLimit) {
				if part {
					env.gateway.quarantine.Parts.RecordPartCrashes(r.partHashes(), life)
				} else {
					env.gateway.quarantine.Contents.RecordCrash(r.contentHash, life, true)
				}
			}
			require.Eventually(t, func() bool { return !env.gateway.sendable(r, inst) }, 5*time.Second, time.Millisecond)
		})
	}
}
