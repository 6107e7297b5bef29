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

// countResumed counts a stream whose first event of an attempt has arrived, unless it is new.
func (g *Gateway) countResumed(r *request, inst *upstream.Instance) {
	switch {
	case !r.responseStarted:
		r.software = inst.Software
		if r.meta.Resumes {
			g.metrics.resumed.count(resumedRequest, softwareUnknown)
		}
	case r.software == inst.Software:
		g.metrics.resumed.count(resumedAttempt, softwareSame)
	default:
		g.metrics.resumed.count(resumedAttempt, softwareOther)
	}
}
