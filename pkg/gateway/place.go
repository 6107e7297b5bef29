package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/shedding"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// place chooses the instance for the next attempt.
func (g *Gateway) place(r *request, now time.Time) (placement.Choice, *verdict.Error) {
	if r.tried == nil {
		r.tried = make(map[upstream.ID]bool, 1)
	}
	routers := g.peers.Count()
	list := candidateLists.Get().(*[]placement.Candidate)
	defer candidateLists.Put(list)
	var cold int
	*list, cold = g.candidates((*list)[:0], r, now)
	candidates := *list
	r.trail.decided = decided{Candidates: len(candidates), Routers: routers, ListAgeMs: g.catalog.InstancesAge(now).Milliseconds(), Cold: cold}
	if len(candidates) == 0 && cold > 0 {
		return placement.Choice{}, errCold()
	}
	if len(candidates) == 0 {
		return placement.Choice{}, errNoUpstream()
	}
	req := placement.Request{Work: placement.Work{Prompt: r.ask.Prompt, PauseWeight: r.fragile()}, Prefixes: r.chain, Service: r.service, Zone: g.settings.Load().Zone}
	g.learned(r, &req)
	g.limit(r, &req, now)
	if req.Limits.OverShare {
		g.inflows.CountOverShare(r.service.Name, now)
	}
	if !g.settings.Load().Off.Herds {
		req.Unseen, req.Random = g.inflows.Unseen(r.service.Name, now), rand.Float64()
	}
	found := placement.Choose(req, candidates, g.paceFor(r))
	r.trail.decided.limits(req, found)
	if !found.OK {
		return placement.Choice{}, errOverloaded(shedding.RetryAfter(found, req.Limits, rand.Float64()))
	}
	return found.Choice, nil
}

// isCall reports whether the request is a call, which holds a slot and has no prompt to be read.
func (r *request) isCall() bool { return r.service.Engine == nil || r.ask.Prompt == nil }

// paceFor is what is known of the speed of the instances that may run a request.
func (g *Gateway) paceFor(r *request) placement.Speed {
	p := g.pace()
	if r.isCall() {
		p.CallTime = g.calls.Mean(r.service.Name)
	}
	return p
}

// called notes how long a call took.
func (g *Gateway) called(r *request, c placement.Choice, took time.Duration) {
	if r.isCall() {
		in := c.Candidate.Instance
		g.calls.Observe(r.service.Name, took, placement.QueueLength(c.Candidate.Load, in.Slots), in.Slots)
	}
}

// learned sets what is known of the service's engines.
func (g *Gateway) learned(r *request, req *placement.Request) {
	if r.service.Engine == nil || r.ask.Prompt == nil {
		return
	}
	off := g.settings.Load().Off
	req.AllowFetch = !off.Fetch
	if !off.Speeds {
		req.Scale = g.paces.Scale(r.service.Name, r.ask.Prompt.Input)
	}
	if !off.Pauses {
		req.MaxPause = g.catalog.Table().MaxPause(r.service.Name)
		req.PauseCurve = g.paces.Curve(r.service.Name)
	}
}

// candidateLists holds lists for reuse: a new one for each request would be most of what a choice
// allocates (BenchmarkCandidates).
var candidateLists = sync.Pool{New: func() any { return new([]placement.Candidate) }}

// candidates appends the instances that may be given the request to list. cold is the number of
// those that are left out as they are cold.
func (g *Gateway) candidates(list []placement.Candidate, r *request, now time.Time) (_ []placement.Candidate, cold int) {
	members := g.catalog.Instances().Of(r.service.Name)
	kept := g.holdings.Lookup(r.chain, now)
	g.health.EachUsable(members, now, func(in *upstream.Instance, handicap time.Duration) {
		if !g.catalog.Placeable(in) || r.tried[in.ID] {
			return
		}
		if !g.warmup.Open(in, r.service, now) {
			cold++
			return
		}
		of := kept[in.Life()]
		list = append(list, placement.Candidate{Instance: in, Cached: of.Sent, Confirmed: of.Confirmed, Handicap: handicap})
	})
	if r.service.Engine != nil && !g.settings.Load().Off.Speeds {
		for i := range list {
			list[i].Slowness = g.paces.Slowness(list[i].Instance.Life(), now)
		}
	}
	g.ledger.FillLoads(list, now)
	return list, cold
}

// work is what a choice has its instance do.
func (g *Gateway) work(r *request, c placement.Choice) placement.Work {
	return placement.Work{Prompt: r.ask.Prompt, PrefillTokens: c.PrefillTokens, LongPrompt: c.IsLongPrompt(), PauseWeight: r.fragile()}
}

// fragile is the request's weight if it is a stream that a long pause makes late, else 0.
func (r *request) fragile() int {
	if r.route.Kind != routing.Stream || r.route.MaxPause <= 0 || r.ask.Prompt == nil || r.service.Engine == nil {
		return 0
	}
	if r.ask.Prompt.PlannedOutput() <= r.service.Engine.EventTokens {
		return 0 // one event, no pause
	}
	return placement.StreamWeight(r.ask.Prompt.Size())
}

// limit sets what the request may find at an instance.
func (g *Gateway) limit(r *request, req *placement.Request, now time.Time) {
	if r.isCall() {
		req.Limits = shedding.CallLimits(r.route.Objective, now.Sub(r.start), g.calls.Mean(r.service.Name))
		return
	}
	own := max(1, req.Scale) * float64(r.ask.Prompt.Input) / g.settings.Load().PrefillTokensPerMs * float64(time.Millisecond)
	r.standing = g.shares.Standing(r.org, g.capacity(), now)
	req.Limits = shedding.PromptLimits(shedding.Request{Objective: r.route.Objective, Waited: now.Sub(r.start), Prefill: time.Duration(own), Standing: r.standing})
	g.settings.Load().Off.limits(&req.Limits)
}

// capacity is what all engines do together, in tokens a second.
func (g *Gateway) capacity() float64 { return g.catalog.Table().Config.Limits.TokensPerSecond }
