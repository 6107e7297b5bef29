package gateway

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// hashContent identifies what a request would run: the same organisation, method, URI and body have
// the same hash on every router.
func hashContent(r *request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.org, r.in.Method, r.in.RequestURI} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	return h.Sum64()
}

// FormatSubject formats what is suspected of crashing upstreams, for logs and operators.
func FormatSubject(subject uint64) string { return strconv.FormatUint(subject, 16) }
