package gateway

import (
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// errUnavailable returns the error for a request whose upstreams have all said that they take none; nil if at
// least one of them has not.
func (g *Gateway) errUnavailable(r *request) *verdict.Error {
	leaving := false
	for _, in := range g.catalog.Instances().ByService(r.service.Name) {
		if r.bound && in.Software != r.software {
			continue
		}
		if g.catalog.Placeable(in) {
			return nil
		}
		leaving = leaving || in.State == upstream.Draining
	}
	if leaving && !r.bound { // the rest of a stream has errors of its own
		return errAllLeaving()
	}
	return nil
}

// errExhausted returns the error for a request that no upstream has run in as many attempts as it may have.
func (g *Gateway) errExhausted(r *request) *verdict.Error {
	if err := g.errUnavailable(r); err != nil {
		return err
	}
	return errUpstreamsFull(transientRetryAfter)
}
