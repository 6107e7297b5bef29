package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CrashLimit is the number of upstreams that may break off under one content before
	// it is refused. One or two may be chance: an upstream that crashes breaks off all
	// that it runs, and the caller asks again.
	CrashLimit = 3
	// SuspectFor is how long a content is suspected after its last break.
	SuspectFor = time.Minute
)

// content stands for what a request would run: the same caller, path and body give the
// same number on every router.
func content(r *request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.org, r.in.Method, r.in.RequestURI} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	return h.Sum64()
}

// suspect notes that an upstream broke off under r.
//
// Guard: a request may crash every upstream that begins to run it, and comes again at any
// router. Without a common memory of it one caller takes a whole service down.
func (g *Gateway) suspect(r *request) { g.suspects.Died(r.content, true) }

// clear notes that r ran to its end.
func (g *Gateway) clear(r *request) { g.suspects.EndedAlone(r.content) }
