package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const okHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\n"

// malformedAnswers aren't responses of HTTP/1.
var malformedAnswers = map[string]string{
	"status 000":                        "HTTP/1.1 000 \r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nno",
	"status 000 before a response":      "HTTP/1.1 000 \r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno",
	"status 099 before a response":      "HTTP/1.1 099 x\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno",
	"status +20 before a response":      "HTTP/1.1 +20 x\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno",
	"status of two digits":              "HTTP/1.1 20 x\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nno",
	"status of four digits":             "HTTP/1.1 2000 x\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nno",
	"letter in the status":              "HTTP/1.1 2x0 x\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nno",
	"switched protocols":                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno",
	"another major version":             "HTTP/9.9 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nno",
	"NUL in the reason":                 "HTTP/1.1 200 O\x00K\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nno",
	"blank in a name":                   okHead + "X Y: 1\r\nContent-Length: 2\r\n\r\nno",
	"blank after a name":                okHead + "X-Y : 1\r\nContent-Length: 2\r\n\r\nno",
	"blank after the length's name":     okHead + "Content-Length : 9\r\n\r\nno",
	"blank after the encoding's name":   okHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"length, blank after encoding":      okHead + "Transfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"blank in an interim head's name":   "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno",
	"another version of an interim one": "HTTP/9.9 103 Early Hints\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno",
	"chunks of HTTP/1.0":                "HTTP/1.0 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunks of HTTP/1.0 after interim":  "HTTP/1.1 103 x\r\n\r\nHTTP/1.0 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"control byte in a name":            okHead + "X\x01Y: 1\r\nContent-Length: 2\r\n\r\nno",
	"tab in a name":                     okHead + "X\tY: 1\r\nContent-Length: 2\r\n\r\nno",
	"NUL in a name":                     okHead + "X\x00: 1\r\nContent-Length: 2\r\n\r\nno",
	"carriage return in a name":         okHead + "X\rY: 1\r\nContent-Length: 2\r\n\r\nno",
	"empty name":                        okHead + ": 1\r\nContent-Length: 2\r\n\r\nno",
	"control byte in a value":           okHead + "X-Y: \x01\r\nContent-Length: 2\r\n\r\nno",
}

// legalAnswers are unusual, but responses of HTTP/1 with the body "ok".
var legalAnswers = map[string]string{
	"no reason":            "HTTP/1.1 200 \r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nok",
	"other reason":         "HTTP/1.1 200 Tr\xc3\xa8s\tbien\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nok",
	"later minor version":  "HTTP/1.2 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0":             "HTTP/1.0 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\n\r\nok",
	"interim responses":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok",
	"unknown interim one":  "HTTP/1.1 199 x\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok",
	"all signs of a token": okHead + "X!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 2\r\n\r\nok",
	"blanks around values": okHead + "X-Y:  a b\t \r\nContent-Length:2 \r\n\r\nok",
	"empty value":          okHead + "X-Y:\r\nContent-Length: 2\r\n\r\nok",
	"folded line":          okHead + "X-Y: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
}

// answerRaw has the first upstream send an answer to each request for path, and ok to others. Afterwards it closes the
// connection, or if it stays, waits for another request, of which there must be none behind answer.
func (env *testEnv) answerRaw(path, answer string, stays bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(env.t, err)
	env.t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		r, answered := bufio.NewReader(c), false
		for {
			in, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if answered {
				env.t.Error("the connection is used again")
			}
			text := okHead + "Content-Length: 2\r\n\r\nok"
			if strings.HasSuffix(in.URL.Path, path) {
				text, answered = answer, true
			}
			io.WriteString(c, text)
			if !stays {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	env.replaceFirst(&rawUpstream{Listener: l}, upstream.Ready)
}

// Guards against bytes that are no response and reach a caller as one, or with a body that wasn't sent.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	for name, answer := range malformedAnswers {
		for _, kept := range []bool{false, true} {
			for _, path := range []string{"/once/", "/stream/"} {
				t.Run(name+path+map[bool]string{false: "new", true: "kept"}[kept], func(t *testing.T) {
					env := newTestEnv(t)
					env.startUpstreams(nil)
					env.answerRaw("bad", answer, true)
					if kept {
						status, body, _ := env.get("/once/good")
						require.Equal(t, http.StatusOK, status)
						require.Equal(t, "ok", body)
					}
					status, body, header := env.get(path + "bad")
					require.Equal(t, http.StatusBadGateway, status, "body %q, header %v", body, header)
					env.resetHealth()
					status, body, _ = env.get("/once/good")
					require.Equal(t, http.StatusOK, status, "the next request")
					require.Equal(t, "ok", body)
				})
			}
		}
	}
}

// Guards against refusing responses that HTTP/1 allows.
func TestLegalHeadsReachTheirCallers(t *testing.T) {
	for name, answer := range legalAnswers {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(nil)
			env.answerRaw("legal", answer, false)
			status, body, _ := env.get("/once/legal")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "ok", body)
		})
	}
}

// Guards against refusing a status of no class that HTTP defines, which counts as a server's error.
func TestStatusesOfNoClassArePassedOnAsErrors(t *testing.T) {
	for _, status := range []int{600, 999} {
		env := newTestEnv(t)
		env.startUpstreams(nil)
		env.answerRaw("odd", fmt.Sprintf("HTTP/1.1 %d x\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nok", status), false)
		got, body, _ := env.get("/once/odd")
		require.Equal(t, status, got)
		require.Equal(t, "ok", body)
		env.startUpstreams(nil, respondWith("served"))
		env.answerRaw("odd", fmt.Sprintf("HTTP/1.1 %d x\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nok", status), false)
		got, body, _ = env.get("/safe/odd")
		require.Equal(t, http.StatusOK, got, "repeated at another upstream")
		require.Equal(t, "served", body)
	}
}

// Guards against lines of trailers that reach a caller: whatever a trailer holds, only the body before it is passed on.
func TestTrailersReachNoCaller(t *testing.T) {
	const body = okHead + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for name, one := range map[string]struct {
		trailer string
		status  int
	}{
		"legal":                  {"X-T: 1\r\n\r\n", http.StatusOK},
		"blank in a name":        {"X Y: 1\r\n\r\n", http.StatusOK},
		"blank after a name":     {"Content-Length : 9\r\n\r\n", http.StatusOK},
		"control byte in a name": {"X\x01Y: 1\r\n\r\n", http.StatusBadGateway},
		"NUL in a value":         {"X-T: \x00\r\n\r\n", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(nil)
			env.answerRaw("trailer", body+one.trailer, false)
			resp, err := env.client.Do(env.newRequest("/once/trailer"))
			require.NoError(t, err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, one.status, resp.StatusCode)
			require.Empty(t, resp.Trailer)
			require.NotContains(t, resp.Header, "X Y")
			if one.status == http.StatusOK {
				require.Equal(t, "ok", string(data))
			}
		})
	}
}
