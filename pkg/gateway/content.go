package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CrashLimit is the number of upstreams that may break off while they run the same content
	// before it is refused. One or two may be coincidence: an upstream that crashes breaks off all
	// requests that it runs, and their callers retry.
	CrashLimit = 3
	// QuarantineDuration is how long content stays suspect after the last upstream broke off.
	QuarantineDuration = time.Minute
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

// recordCrash records that an upstream broke off while it ran r.
//
// Guard: a request may crash every upstream that starts it, and its caller may retry it at any
// router. Unless the routers share what they know of it, one caller can take a whole service down.
func (g *Gateway) recordCrash(r *request) { g.quarantine.RecordCrash(r.contentHash, true) }

// clearSuspicion records that r completed.
func (g *Gateway) clearSuspicion(r *request) { g.quarantine.RecordSoloCompletion(r.contentHash) }
