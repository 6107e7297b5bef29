package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// closingResponseHead is the header of a response after which the connection closes, without framing.
const closingResponseHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nConnection: close\r\n"

// Guards, for every kind of framing, against relaying a response that is truncated anywhere as
// complete, and against rejecting a complete one.
func TestTruncatedResponsesAreNotRelayedAsComplete(t *testing.T) {
	for name, text := range map[string]string{
		"length":           closingResponseHead + "Content-Length: 5\r\n\r\nhello",
		"length and more":  closingResponseHead + "Content-Length: 5\r\n\r\nhello, world",
		"two lengths":      closingResponseHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":           closingResponseHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"chunks, trailers": closingResponseHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n",
		"length, chunks":   closingResponseHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"interim":          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + closingResponseHead + "Content-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			complete := completeLength(text)
			for cut := range len(text) + 1 {
				env := newTestEnv(t)
				env.startUpstreams(respondRaw(text[:cut]))
				status, body, _ := env.get("/once/")
				if cut < complete {
					require.Equal(t, http.StatusBadGateway, status, "cut at %d", cut)
					continue
				}
				require.Equal(t, http.StatusOK, status, "cut at %d", cut)
				require.Equal(t, "hello", body, "cut at %d", cut)
			}
		})
	}
}

// completeLength returns the number of bytes with which a response of the table is complete.
func completeLength(text string) int {
	if strings.Contains(text, "Transfer-Encoding") {
		return len(text)
	}
	return strings.Index(text, "hello") + len("hello")
}

// Guards against relaying responses whose framing contradicts itself, or that have a body where none
// is allowed.
func TestResponsesWithInvalidFramingAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"two other lengths": closingResponseHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"no number":         closingResponseHead + "Content-Length: five\r\n\r\nhello",
		"negative":          closingResponseHead + "Content-Length: -1\r\n\r\nhello",
		"unknown encoding":  closingResponseHead + "Transfer-Encoding: zip\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(respondRaw(text))
			status, _, _ := env.get("/once/")
			require.Equal(t, http.StatusBadGateway, status)
		})
	}
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		t.Run(status, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(respondRaw("HTTP/1.1 " + status + "\r\nX-Id: request-1\r\nX-Proof: ran\r\nConnection: close\r\n\r\nhello"))
			_, body, _ := env.get("/once/")
			require.Empty(t, body)
		})
	}
}
