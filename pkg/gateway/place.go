package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/shedding"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// chooseInstance chooses the instance for the next attempt.
func (g *Gateway) chooseInstance(r *request, now time.Time) (placement.Choice, *verdict.Error) {
	if r.tried == nil {
		r.tried = make(map[upstream.ID]bool, 1)
	}
	routers := g.peers.Count()
	list := candidateSlices.Get().(*[]placement.Candidate)
	defer candidateSlices.Put(list)
	var cold int
	*list, cold = g.candidates((*list)[:0], r, now)
	candidates := *list
	r.logRecord.placement = placementRecord{Candidates: len(candidates), Routers: routers, ListAgeMs: g.catalog.InstancesAge(now).Milliseconds(), Cold: cold}
	if len(candidates) == 0 && cold > 0 {
		return placement.Choice{}, errCold()
	}
	if len(candidates) == 0 {
		return placement.Choice{}, g.errNoCandidate(r)
	}
	req := placement.Request{Work: placement.Work{Prompt: r.meta.Prompt, PauseWeight: r.pauseWeight()}, Prefixes: r.prefixes, Service: r.service, Zone: g.settings.Load().Zone, ConnectCost: g.connectCost()}
	g.applyLearnedSpeeds(r, &req)
	g.setLimits(r, &req, now)
	if req.Limits.OverShare {
		g.inflows.CountOverShare(r.service.Name, now)
	}
	if !g.settings.Load().Disabled.Herds {
		req.Unseen, req.Random = g.inflows.Unseen(r.service.Name, now), rand.Float64()
	}
	if g.takesTurns(r) {
		req.MaxNear, req.NearFrom = booking.MaxOffers, booking.MinPrefill(g.catalog.Table().MaxPause(r.service.Name))
	}
	found := placement.Choose(req, candidates, g.speedFor(r))
	r.logRecord.placement.recordLimits(req, found)
	if !found.OK {
		return placement.Choice{}, errUpstreamsFull(shedding.RetryAfter(found, req.Limits, rand.Float64()))
	}
	if len(found.Near) > 0 {
		return g.book(r, &req, found)
	}
	return found.Choice, nil
}

// isCall reports whether the request is a call: it takes a slot but has no prompt to prefill.
func (r *request) isCall() bool { return r.service.Engine == nil || r.meta.Prompt == nil }

// speedFor returns what is known of the speed of the instances that may run a request.
func (g *Gateway) speedFor(r *request) placement.Speed {
	p := g.configuredSpeed()
	if r.isCall() {
		p.CallTime = g.callTimes.Mean(r.service.Name)
	}
	return p
}

// observeCall records how long a call took.
func (g *Gateway) observeCall(r *request, c placement.Choice, took time.Duration) {
	if r.isCall() {
		inst := c.Candidate.Instance
		g.callTimes.Observe(r.service.Name, took, placement.QueueLength(c.Candidate.Load, inst.Slots), inst.Slots)
	}
}

// applyLearnedSpeeds adds to req what is known of the speed and the pauses of the service's engines.
func (g *Gateway) applyLearnedSpeeds(r *request, req *placement.Request) {
	if r.service.Engine == nil || r.meta.Prompt == nil {
		return
	}
	disabled := g.settings.Load().Disabled
	req.AllowFetch = !disabled.Fetch
	if !disabled.Speeds {
		req.Scale = g.estimator.Scale(r.service.Name, r.meta.Prompt.Input)
	}
	if !disabled.Pauses {
		req.MaxPause = g.catalog.Table().MaxPause(r.service.Name)
		req.PauseCurve = g.estimator.Curve(r.service.Name)
	}
}

// candidateSlices holds slices for reuse: a new one per request would be most of what placement
// allocates.
var candidateSlices = sync.Pool{New: func() any { return new([]placement.Candidate) }}

// candidates appends to list the instances that the request may be sent to. cold is the number of
// instances that are excluded because they are cold.
func (g *Gateway) candidates(list []placement.Candidate, r *request, now time.Time) (_ []placement.Candidate, cold int) {
	members := g.catalog.Instances().ByService(r.service.Name)
	cached := g.prefixIndex.Lookup(r.prefixes, now)
	g.health.EachUsable(members, now, func(inst *upstream.Instance, handicap time.Duration) {
		if r.tried[inst.ID] || !g.softwareFits(r, inst, now) {
			return
		}
		if !g.catalog.Placeable(inst) {
			if !g.goesOnAtLeaving(r, inst, now) {
				return
			}
			handicap += leavingHandicap
		}
		if !g.warmup.Allows(inst, r.service, now) {
			cold++
			return
		}
		tokens := cached[inst.Life()]
		list = append(list, placement.Candidate{Instance: inst, Cached: tokens.Sent, Confirmed: tokens.Confirmed, Handicap: handicap})
	})
	if r.service.Engine != nil && !g.settings.Load().Disabled.Speeds {
		for i := range list {
			list[i].Slowness = g.estimator.Slowness(list[i].Instance.Life(), now)
		}
	}
	g.loads.FillLoads(list, now)
	g.markConnected(list, now)
	return list, cold
}

// workOf returns the work that the chosen instance has to do for r.
func (g *Gateway) workOf(r *request, c placement.Choice) placement.Work {
	return placement.Work{Prompt: r.meta.Prompt, PrefillTokens: c.PrefillTokens, LongPrompt: c.IsLongPrompt(), PauseWeight: r.pauseWeight()}
}

// pauseWeight returns the weight of a stream that a long pause would make late, 0 for other requests.
func (r *request) pauseWeight() int {
	if r.route.Kind != routing.Stream || r.route.MaxPause <= 0 || r.meta.Prompt == nil || r.service.Engine == nil {
		return 0
	}
	if r.meta.Prompt.PlannedOutput() <= r.service.Engine.EventTokens {
		return 0 // a stream of one event has no pauses
	}
	return placement.StreamWeight(r.meta.Prompt.Size())
}

// setLimits sets the longest wait and the other limits that decide whether the request is placed.
func (g *Gateway) setLimits(r *request, req *placement.Request, now time.Time) {
	if r.isCall() {
		req.Limits = shedding.CallLimits(r.route.Objective, now.Sub(r.start), g.callTimes.Mean(r.service.Name))
		return
	}
	prefillTime := max(1, req.Scale) * float64(r.meta.Prompt.Input) / g.settings.Load().PrefillTokensPerMs * float64(time.Millisecond)
	r.standing = g.shares.Standing(r.org, g.capacity(), now)
	limited := shedding.Request{Objective: r.route.Objective, Waited: now.Sub(r.start), Prefill: time.Duration(prefillTime), Standing: r.standing}
	if r.bound {
		req.Limits = shedding.ResumeLimits(limited)
		return
	}
	req.Limits = shedding.PromptLimits(limited)
	g.settings.Load().Disabled.liftLimits(&req.Limits)
}

// capacity returns the configured capacity of all engines together, in tokens per second.
func (g *Gateway) capacity() float64 { return g.catalog.Table().Config.Limits.TokensPerSecond }
