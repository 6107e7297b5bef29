package handover

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that another router broke off anywhere, in its head too, and that reaches the caller
// as complete.
func TestAnswersThatAreCutAnywhereAreRelayedAsCut(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				cut, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
				io.WriteString(c, answer[:cut])
				c.Close()
			})
			s := newTestRelay(t, addr)
			for cut := range len(answer) + 1 {
				c := s.dial()
				io.WriteString(c, "GET /"+strconv.Itoa(cut)+" HTTP/1.1\r\nHost: h\r\n\r\n")
				var data []byte
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					data, err = io.ReadAll(resp.Body)
				}
				require.Equal(t, cut < len(answer), err != nil, "cut at %d: %q", cut, data)
			}
			s.waitUntilIdle()
		})
	}
}
