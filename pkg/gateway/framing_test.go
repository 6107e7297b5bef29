package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// closingHead is the head of an answer after which the connection closes, without its framing.
const closingHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nConnection: close\r\n"

// Guards, for all ways to frame an answer, against one that is cut anywhere and looks complete, and
// against one that is complete and doesn't.
func TestAnswersAreCompleteOnlyWhenTheyAre(t *testing.T) {
	for name, text := range map[string]string{
		"length":           closingHead + "Content-Length: 5\r\n\r\nhello",
		"length and more":  closingHead + "Content-Length: 5\r\n\r\nhello, world",
		"two lengths":      closingHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":           closingHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"chunks, trailers": closingHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n",
		"length, chunks":   closingHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"interim":          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + closingHead + "Content-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			whole := completeAt(text)
			for cut := range len(text) + 1 {
				w := newWorld(t)
				w.upstreams(breaks(text[:cut]))
				status, body, _ := w.get("/once/")
				if cut < whole {
					require.Equal(t, http.StatusBadGateway, status, "cut at %d", cut)
					continue
				}
				require.Equal(t, http.StatusOK, status, "cut at %d", cut)
				require.Equal(t, "hello", body, "cut at %d", cut)
			}
		})
	}
}

// completeAt is the number of bytes with which an answer of the table is complete.
func completeAt(text string) int {
	if strings.Contains(text, "Transfer-Encoding") {
		return len(text)
	}
	return strings.Index(text, "hello") + len("hello")
}

// Guards against answers whose framing contradicts itself, or that have a body where none is allowed.
func TestAnswersOfNoClearLengthArentPassedOn(t *testing.T) {
	for name, text := range map[string]string{
		"two other lengths": closingHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"no number":         closingHead + "Content-Length: five\r\n\r\nhello",
		"negative":          closingHead + "Content-Length: -1\r\n\r\nhello",
		"unknown encoding":  closingHead + "Transfer-Encoding: zip\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(breaks(text))
			status, _, _ := w.get("/once/")
			require.Equal(t, http.StatusBadGateway, status)
		})
	}
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		t.Run(status, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(breaks("HTTP/1.1 " + status + "\r\nX-Id: request-1\r\nConnection: close\r\n\r\nhello"))
			_, body, _ := w.get("/once/")
			require.Empty(t, body)
		})
	}
}
