package dispatch

import (
	"net/http"
	"strings"
)

// Headers between routers and upstreams.
const (
	// HeaderAttempt carries the attempt's ID; the upstream echoes it.
	HeaderAttempt = "Flamingowind-Attempt"
	// HeaderOrg names the organisation to the upstream.
	HeaderOrg = "Flamingowind-Org"
)

const reservedPrefix = "Flamingowind-"

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1) and those that each side
// sets itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd copies h without hop-by-hop headers and without the project's own headers.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, reservedPrefix) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
