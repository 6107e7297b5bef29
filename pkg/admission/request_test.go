package admission

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIsCompleteRequest(t *testing.T) {
	for request, whole := range map[string]bool{
		"":                                  false,
		"GET / HTTP/1.1\r\nHost: h\r\n":     false,
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n": true,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab":                                    false,
		"POST / HTTP/1.1\r\ncontent-length:3\r\n\r\nabc":                                    true,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET":                                true,
		"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\nabc":                                   false,
		"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc":                                  false,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nabc":              false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n":                 false,
		"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n":        true,
		"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n":              false,
		"POST / HTTP/1.1\r\nX: " + strings.Repeat("y", 1000) + "\r\n\r\n":                   true,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nab": false,
	} {
		require.Equal(t, whole, isCompleteRequest([]byte(request)), "%q", request)
	}
}

// For any bytes, nothing is complete before its header has ended, and more bytes don't make a
// complete request with a declared length incomplete.
func FuzzIsCompleteRequest(f *testing.F) {
	f.Add([]byte(postRequest))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, request []byte) {
		if !isCompleteRequest(request) {
			return
		}
		require.Contains(t, string(request), "\r\n\r\n")
		header, _, _ := strings.Cut(string(request), "\r\n\r\n")
		if _, chunked := framing([]byte(header)); !chunked {
			require.True(t, isCompleteRequest(append(request, "more"...)))
		}
	})
}
