package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// wholeAnswers are complete responses, in which BODY stands for the body's text, with its length or its chunk.
var wholeAnswers = map[string]string{
	"length":         "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"length last":    "HTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\nX-Id: request-1\r\nX-Proof: ran\r\n\r\nBODY",
	"bare line feed": "HTTP/1.1 200 OK\nX-Id: request-1\nX-Proof: ran\nContent-Length: LENGTH\n\nBODY",
	"chunks":         "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nTransfer-Encoding: chunked\r\n\r\nCHUNK0\r\n\r\n",
	"chunk trailers": "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\nCHUNK0;a=b\r\nX-T: 1\r\n\r\n",
	"interim":        "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"http/1.0":       "HTTP/1.0 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nConnection: keep-alive\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"other status":   "HTTP/1.1 203 Fine\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: LENGTH\r\n\r\nBODY",
	// Only the head of an unframed answer can be told to be cut.
	"close": "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\n\r\n",
}

func wholeAnswer(name, body string) string {
	return strings.NewReplacer("LENGTH", strconv.Itoa(len(body)), "BODY", body, "CHUNK", chunk(body)).Replace(wholeAnswers[name])
}

// cuttingUpstream sends the number of bytes of an answer that the path ends with, and then ends the connection.
// A path that ends in "whole" is answered with ok.
type cuttingUpstream struct {
	answer string
	// reset has it reset the connection instead of closing it; kept has each answer follow a whole one on its
	// connection.
	reset, kept bool
	// keptCuts counts the answers that were cut on a connection that had served before.
	keptCuts atomic.Int64
}

func (u *cuttingUpstream) start(env *testEnv) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(env.t, err)
	env.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	env.replaceFirst(&rawUpstream{Listener: l}, upstream.Ready)
}

func (u *cuttingUpstream) serve(c net.Conn) {
	defer c.Close()
	for r, served := bufio.NewReader(c), 0; ; served++ {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		cut, err := strconv.Atoi(in.URL.Path[strings.LastIndexByte(in.URL.Path, '/')+1:])
		if err == nil {
			if served > 0 {
				u.keptCuts.Add(1)
			}
			io.WriteString(c, u.answer[:cut])
			if u.reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a response that is cut anywhere, in its head, a chunk's head or the trailers, and reaches its
// caller as complete: empty, short or with another status.
func TestAnswersThatAreCutAnywhereDontLookComplete(t *testing.T) {
	for name := range wholeAnswers {
		for how, u := range map[string]*cuttingUpstream{"closed": {}, "reset": {reset: true}, "kept": {kept: true}} {
			t.Run(name+" "+how, func(t *testing.T) {
				for path, body := range map[string]string{"/safe/": "hello", "/once/": "hello", "/stream/": numberedEvents(1, 3, "\n"), "/resume/": numberedEvents(1, 3, "\n")} {
					requireNoCutLooksComplete(t, path, body, &cuttingUpstream{answer: wholeAnswer(name, body), reset: u.reset, kept: u.kept})
				}
			})
		}
	}
}

// requireNoCutLooksComplete cuts the upstream's answer at each of its bytes.
func requireNoCutLooksComplete(t *testing.T, path, body string, u *cuttingUpstream) {
	env := newTestEnv(t)
	env.startUpstreams(nil, func(rw http.ResponseWriter, r *http.Request) {
		if after, err := strconv.Atoi(r.Header.Get("X-After")); err == nil {
			io.WriteString(rw, numberedEvents(after+1, 3, "\n"))
			return
		}
		io.WriteString(rw, body)
	})
	u.start(env)
	defer func() { require.Equal(t, u.kept, u.keptCuts.Load() == int64(len(u.answer))) }()
	for cut := range len(u.answer) {
		env.resetHealth()
		if u.kept {
			status, text, _ := env.get("/once/whole")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "ok", text)
		}
		resp, err := env.client.Do(env.newRequest(path + strconv.Itoa(cut)))
		require.NoError(t, err, "cut at %d", cut)
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		switch {
		case path == "/safe/" || path == "/resume/":
			require.NoError(t, err, "cut at %d", cut)
			require.Equal(t, body, string(data), "cut at %d", cut)
		case err != nil:
			require.True(t, strings.HasPrefix(body, string(data)), "cut at %d: %q", cut, data)
		case resp.StatusCode < http.StatusMultipleChoices:
			t.Fatalf("cut at %d: status %d, complete with %q", cut, resp.StatusCode, data)
		default:
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "cut at %d", cut)
		}
	}
}
