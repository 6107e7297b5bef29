package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// sizedNo and streamedNo are what no caller must get.
	sizedNo    = "Content-Length: 2\r\n\r\nno"
	streamedNo = "Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: no\n\n"
)

// unprovenHeads are heads of successes that don't show whose they are, or that their upstream ran the request.
var unprovenHeads = map[string]string{
	"neither":             "HTTP/1.1 200 OK\r\n",
	"no ID":               "HTTP/1.1 200 OK\r\nX-Proof: ran\r\n",
	"empty ID":            "HTTP/1.1 200 OK\r\nX-Id: \r\nX-Proof: ran\r\n",
	"no proof":            "HTTP/1.1 200 OK\r\nX-Id: request-1\r\n",
	"empty proof":         "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: \r\n",
	"other success":       "HTTP/1.1 299 Fine\r\nX-Id: request-1\r\n",
	"not run, but served": "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Not-Run: 1\r\n",
	"after interim":       "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: request-1\r\n",
	"said by interim":     "HTTP/1.1 103 Early Hints\r\nX-Id: request-1\r\nX-Proof: ran\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// eachUnproven plays all unproven answers, on new and on kept connections.
func eachUnproven(t *testing.T, path, body string, play func(t *testing.T, env *testEnv)) {
	for name, head := range unprovenHeads {
		for _, kept := range []bool{false, true} {
			t.Run(name+path+map[bool]string{false: "new", true: "kept"}[kept], func(t *testing.T) {
				env := newTestEnv(t)
				env.startUpstreams(nil, respondWith("id: 1\ndata: yes\n\n"))
				env.answerRaw("bad", head+body, true)
				if kept {
					status, _, _ := env.get("/once/good")
					require.Equal(t, http.StatusOK, status)
				}
				play(t, env)
			})
		}
	}
}

// Guards against wrong bytes of an upstream that look like a response and reach a caller as its success.
func TestUnprovenResponsesReachNoCaller(t *testing.T) {
	for path, body := range map[string]string{"/once/": sizedNo, "/stream/": streamedNo} {
		eachUnproven(t, path, body, func(t *testing.T, env *testEnv) {
			status, got, header := env.get(path + "bad")
			require.Equal(t, http.StatusBadGateway, status, "the request may have run: %q, %v", got, header)
			require.Zero(t, env.upstreamRequests(), "no other upstream may run it")
			env.resetHealth()
			status, got, _ = env.get("/once/good")
			require.Equal(t, http.StatusOK, status, "the next request")
			require.Equal(t, "ok", got)
		})
	}
}

// Guards against giving up a request that may be repeated because of wrong bytes of one upstream.
func TestRequestsWithAnUnprovenResponseAreRepeated(t *testing.T) {
	for path, body := range map[string]string{"/safe/": sizedNo, "/resume/": streamedNo} {
		eachUnproven(t, path, body, func(t *testing.T, env *testEnv) {
			status, got, _ := env.get(path + "bad")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "id: 1\ndata: yes\n\n", got)
		})
	}
}

// Guards against withholding an upstream's own failure, which proves nothing and promises nothing.
func TestFailuresNeedNoProof(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(nil)
	env.answerRaw("odd", "HTTP/1.1 500 Failed\r\nX-Id: request-1\r\n"+sizedNo, true)
	status, body, _ := env.get("/once/odd")
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, "no", body)
}
