package gateway

import (
	"cmp"
	"time"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// knownByAttempt says that an earlier attempt of the same request brought the first event; other
// sources are those of package affinity.
const knownByAttempt = "own_attempt"

// Outcomes of streams that are resumed, for metrics.
const (
	resumedWentOn   = "went_on"
	resumedRefused  = "refused"
	resumedCutShort = "cut_short"
)

// resumedOutcome returns what became of a stream that its caller resumed.
func resumedOutcome(r *request) string {
	if r.responseStarted {
		return resumedWentOn
	}
	return resumedRefused
}

// resumesStream reports whether the caller goes on with a stream that it has begun to receive.
func (r *request) resumesStream() bool {
	return r.route.Kind == routing.Stream && (r.meta.Resumes || r.meta.FirstAttempt != "")
}

// firstAttempt returns the request ID of the attempt that began the stream, as far as the caller names
// it. All tries of a caller use the same service where it does.
func (r *request) firstAttempt() string { return cmp.Or(r.meta.FirstAttempt, r.meta.RequestID) }

// bindResumed binds a stream that its caller resumes to the software version that began it, and
// returns the service. A caller that names an attempt but no event starts from the beginning, which is
// a new stream where the version isn't known.
func (g *Gateway) bindResumed(r *request, service string) (string, *verdict.Error) {
	services := make([]string, 0, len(r.route.Targets))
	for _, t := range r.route.Targets {
		services = append(services, t.Service)
	}
	b, ok := g.streams.Find(r.in.Context(), affinity.Query{Organisation: r.org, FirstAttempt: r.meta.FirstAttempt, Services: services, Service: service}, time.Now())
	r.boundBy = b.Source
	if !ok && b.Source == affinity.Unknown {
		r.doubt = g.streams.Doubt(service, time.Now())
	}
	switch {
	case ok:
		r.software, r.bound = b.Version, true
		return b.Service, nil
	case !r.meta.Resumes:
		return service, nil
	case b.Source == affinity.Elsewhere:
		return "", errStreamMoved()
	}
	if r.meta.FirstAttempt != "" && g.streams.RecordsUnread() {
		return "", errStreamUnread()
	}
	return "", errStreamUnknown()
}

// softwareFits reports whether a request may be sent to an instance of this software version.
func (g *Gateway) softwareFits(r *request, inst *upstream.Instance, now time.Time) bool {
	if r.bound {
		return inst.Software == r.software
	}
	return r.route.Kind != routing.Stream || g.streams.AllOpen() || g.streams.Open(inst, now)
}

// leavingHandicap is the handicap of an upstream that leaves: it may end before the stream does.
const leavingHandicap = 500 * time.Millisecond

// goesOnAtLeaving reports whether the rest of a stream may be sent to an upstream that leaves.
func (g *Gateway) goesOnAtLeaving(r *request, inst *upstream.Instance, now time.Time) bool {
	if !r.bound || g.catalog.Evacuated(inst.Zone) {
		return false
	}
	current := g.catalog.Instances().Get(inst.ID)
	return current != nil && current.Life() == inst.Life() && g.streams.MayGoOn(current, now)
}

// errNoCandidate returns the error for a request that no instance can be sent.
func (g *Gateway) errNoCandidate(r *request) *verdict.Error {
	if err := g.errUnavailable(r, time.Now()); err != nil {
		return err
	}
	if !r.bound {
		return errNoUpstream()
	}
	for _, inst := range g.catalog.Instances().ByService(r.service.Name) {
		if inst.Software == r.software && !r.tried[inst.ID] {
			return errNoUpstream() // suspended, cold or leaving
		}
	}
	return errSoftwareGone()
}

// beginEvents binds a stream to the software version of the instance that its first event came from.
// A stream that a caller resumed is recorded under the attempt that began it, as its next try names
// that one again.
func (g *Gateway) beginEvents(r *request, inst *upstream.Instance, now time.Time) {
	if r.responseStarted {
		g.metrics.resumed.count(knownByAttempt, resumedWentOn)
		return
	}
	if r.route.Kind == routing.Stream && (!r.meta.Resumes || r.meta.FirstAttempt != "") {
		g.streams.Begin(r.org, r.recordedAttempt(), inst, now)
	}
	r.software, r.bound = inst.Software, true
}

// recordedAttempt returns the request ID under which the stream is recorded.
func (r *request) recordedAttempt() string {
	if r.meta.Resumes {
		return r.meta.FirstAttempt
	}
	return r.meta.RequestID
}
