package edge

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

const bearer = "Bearer "

// authMiddleware finds the organisation of a request's API key.
type authMiddleware struct {
	edge *Edge
	next callHandler
}

func newAuthMiddleware(e *Edge, next callHandler) *authMiddleware {
	return &authMiddleware{edge: e, next: next}
}

// ServeHTTP passes the request on with its organisation, or refuses it as not run.
func (m *authMiddleware) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	catalog := m.edge.Source.Current()
	if catalog == nil {
		m.edge.refuseEarly(w, errNoConfig())
		return
	}
	key, err := single(r.Header, "Authorization")
	if err != nil {
		m.edge.refuseEarly(w, err)
		return
	}
	org, ok := m.authenticate(catalog, key)
	if !ok || org.Disabled {
		m.edge.refuseEarly(w, errUnauthorized())
		return
	}
	m.next.serve(w, r, caller{org: org, catalog: catalog, received: received})
}

// authenticate compares sums, never keys: the time it takes tells nothing about a key,
// and a missing or malformed one costs the same as a wrong one.
func (m *authMiddleware) authenticate(catalog Catalog, header string) (Org, bool) {
	scheme := len(header) > len(bearer) && strings.EqualFold(header[:len(bearer)], bearer)
	key := header
	if scheme {
		key = header[len(bearer):]
	}
	org, ok := catalog.Authenticate(sha256.Sum256([]byte(key)))
	return org, ok && scheme
}

func errUnauthorized() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusUnauthorized, verdict.CodeUnauthorized, "no organisation has this API key")
}

func errNoConfig() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeStale, "this router has no configuration yet").WithRetryAfter(time.Second)
}
