package gateway

import "github.com/flamingowind/flamingowind/pkg/upstream"

// What a stream that goes on resumes, for metrics.
const (
	resumedAttempt = "attempt" // an earlier attempt of the same request
	resumedRequest = "request" // an earlier request of the caller
)

// Software version at which a stream goes on, for metrics.
const (
	softwareSame    = "same"
	softwareOther   = "other"
	softwareUnknown = "unknown" // the version that began the stream isn't known
)

// beginEvents binds a stream to the software version of the instance that its first event came from,
// and counts a stream that goes on.
func (g *Gateway) beginEvents(r *request, inst *upstream.Instance) {
	switch {
	case r.responseStarted && r.software == inst.Software:
		g.metrics.resumed.count(resumedAttempt, softwareSame)
	case r.responseStarted:
		g.metrics.resumed.count(resumedAttempt, softwareOther)
	case r.meta.Resumes:
		g.metrics.resumed.count(resumedRequest, softwareUnknown)
	}
	if !r.bound {
		r.software, r.bound = inst.Software, true
	}
}
