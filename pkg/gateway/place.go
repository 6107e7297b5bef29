package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
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
	*list = g.candidates((*list)[:0], r, routers, now)
	candidates := *list
	r.trail.decided = decided{Candidates: len(candidates), Routers: routers, ListAgeMs: g.catalog.InstancesAge(now).Milliseconds()}
	if len(candidates) == 0 {
		return placement.Choice{}, errNoUpstream()
	}
	req := placement.Request{Work: g.work(r, 0), Chain: r.chain, Service: r.service, Zone: g.settings.Load().Zone}
	g.limit(r, &req, now)
	found := placement.Choose(req, candidates, g.pace())
	r.trail.decided.limits(req, found)
	if !found.OK {
		return placement.Choice{}, errOverloaded(briefly)
	}
	return found.Choice, nil
}

// candidateLists holds lists for reuse. Looked at engine by engine in a new list, 64 engines
// took 4.3 µs and 3.2 KB in place of 2.1 µs and none (BenchmarkCandidates).
var candidateLists = sync.Pool{New: func() any { return new([]placement.Candidate) }}

// candidates appends the instances that may be given the request to list.
func (g *Gateway) candidates(list []placement.Candidate, r *request, routers int, now time.Time) []placement.Candidate {
	members := g.catalog.Instances().Of(r.service.Name)
	kept := g.holdings.Kept(r.chain, now)
	many := routers >= manyRouters
	g.health.EachUsable(members, now, func(in *upstream.Instance, handicap time.Duration) {
		if in.State != upstream.Ready || r.tried[in.ID] {
			return
		}
		list = append(list, placement.Candidate{Instance: in, Kept: kept[in.Life()], Handicap: handicap + spread(many)})
	})
	g.ledger.Fill(list)
	return list
}

const (
	// manyRouters is the number of routers from which on they choose by older reports, as they
	// hear of each other through hubs.
	manyRouters = 17
	// spreadOver is the difference of costs that chance may make up for among many routers.
	spreadOver = 40 * time.Millisecond
)

// spread is a cost by chance for a candidate; none unless there are many routers.
//
// Guard: many routers that go by the same reports, some hundred milliseconds old, all choose
// the engine that was the least busy then. It is full in no time and turns requests away,
// while others have slots free.
func spread(many bool) time.Duration {
	if !many {
		return 0
	}
	return rand.N(spreadOver)
}

func (g *Gateway) work(r *request, unread int) placement.Work {
	return placement.Work{Organisation: r.org, Prompt: r.ask.Prompt, Unread: unread}
}

// Shares of a route's objective that a request may be expected to wait for its first
// event.
const (
	// patience is for organisations within their share: what is left of the objective
	// covers the way to the caller and what the estimate misses.
	patience = 0.8
	// impatience is the queue at which an organisation that has just its share gives way;
	// one that is further over gives way earlier, so that of several the one that is
	// furthest over gets least.
	impatience = 0.35
	// longPatience is what a request gets beside the reading of its own prompt: one whose
	// prompt takes longer than the objective to read is late anywhere.
	longPatience = 0.4
)

// limit sets the longest wait that is worth starting.
func (g *Gateway) limit(r *request, req *placement.Request, now time.Time) {
	if r.service.Engine == nil || r.ask.Prompt == nil {
		req.Limit, req.QueueLimit, req.OwnQueueLimit = callPatience, callPatience, callPatience
		return
	}
	objective := float64(r.route.Objective)
	own := float64(r.ask.Prompt.Input) / g.settings.Load().PrefillTokensPerMs * float64(time.Millisecond)
	req.Limit = time.Duration(max(patience*objective-float64(now.Sub(r.start)), own+longPatience*objective))
	req.QueueLimit, req.OwnQueueLimit, req.Reserve = req.Limit, req.Limit, reserve
	r.standing = g.shares.Standing(r.org, g.capacity(), now)
	if over := r.standing.Share; over > 1 {
		req.QueueLimit = time.Duration(impatience * objective / math.Pow(over, yielding))
		req.OwnQueueLimit = time.Duration(ownQueue * float64(req.QueueLimit))
		if over > farOver {
			req.Reserve = farOverReserve
		}
		if r.standing.Full {
			req.Occupancy = occupancy(over)
		}
	}
	if r.standing.Share < short {
		req.Reserve = shortReserve
	}
}

const (
	// reserve is the usual reserve for reading a prompt again, shortReserve that of
	// organisations that get less than the share short of what they are due: they must
	// not wait for the one engine that keeps their prompt.
	reserve      = 3
	shortReserve = 2
	short        = 0.7
	// farOverReserve is that of organisations that get more than farOver times their share:
	// they wait for the engine that keeps their prompt, or are refused. Those just over it
	// may move: locked to a busy engine they would get less than one far over its share.
	farOverReserve = 10
	farOver        = 2
	// leastOccupancy is the part of an engine's slots that an organisation may take up to
	// floorEnd times its share: what others leave idle.
	leastOccupancy = 0.25
	floorEnd       = 8
	// ownQueue is how much longer than the shortest queue an organisation over its share
	// may find the one that it waits in.
	ownQueue = 3
)

// occupancy is the part of an engine's slots that an organisation may take whose standing
// is over.
//
// Guard: with the same part for all that are far over their share, the one that asks most
// gets most, as it finds each free slot first, and another gets less than half of it. Past
// the floor's end the part falls on; an idle engine still takes anything.
func occupancy(over float64) float64 {
	floor := leastOccupancy * min(1, floorEnd/over)
	return max(floor, 1/over)
}

// yielding is the power of the standing by which the queue limit falls.
const yielding = 2.0

// callPatience bounds the wait for a plain service, whose calls take milliseconds.
const callPatience = 400 * time.Millisecond

// capacity is what all engines do together, in tokens a second.
func (g *Gateway) capacity() float64 { return g.catalog.Table().Config.Limits.TokensPerSecond }
