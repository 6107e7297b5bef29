package placement

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Weights and costs other than waiting.
const (
	// recomputeWeight is the cost of a millisecond of recomputing shared parts, relative to one of
	// waiting: it also delays the requests beside it.
	recomputeWeight = 6.0
	// fullBatchCost is the cost of a full batch: each running request slows the others' tokens.
	fullBatchCost = 60 * time.Millisecond
	// crossZoneCost prefers instances in the router's own zone when all else is equal.
	crossZoneCost = 3 * time.Millisecond
	// tieBreakCost ranks instances for a prefix that none has cached, in the same order at all
	// routers, so that two routers that get a new prefix at the same time choose the same engine.
	tieBreakCost = 25 * time.Millisecond
	// usableKVShare is the part of an engine's KV cache that is planned with: when the cache is
	// full, the engine preempts running requests and recomputes them.
	usableKVShare = 0.92
	// kvFullWait is added to the queue of engines whose KV cache is full, so that others are
	// preferred.
	kvFullWait = 3 * time.Second
)

// Request is the input of Choose.
type Request struct {
	Work     Work
	Prefixes []Prefix
	Service  *routing.Service
	Zone     string
	Limits   Limits
	// Scale is the prefill time of a token of this prompt over that of a short prompt's token; 0
	// counts as 1.
	Scale float64
	// MaxPause is the longest pause between two events that the service's streams may make; 0 when
	// pauses aren't considered. PauseCurve estimates the pause that a prefill causes.
	MaxPause   time.Duration
	PauseCurve pace.Curve
	// AllowFetch is whether cached parts may be fetched from another engine.
	AllowFetch bool
	// Unseen is the traffic at other routers since the candidates' loads were counted. Random is a
	// random number in [0, 1) that spreads the choices of many routers.
	Unseen Unseen
	Random float64
	// MaxNear is the number of choices that Choose returns besides the chosen one, if its prefill
	// takes NearFrom or longer.
	MaxNear  int
	NearFrom time.Duration
	// ConnectCost is the time that a new connection costs; 0 for no preference for instances that
	// this router is connected to.
	ConnectCost time.Duration
}

// Choice is an instance and the estimates for the request there.
type Choice struct {
	Candidate Candidate
	// Wait is the expected time to the first event.
	Wait time.Duration
	// UncachedTokens is the number of prompt tokens that aren't in the instance's cache,
	// PrefillTokens the same in tokens of a short prompt.
	UncachedTokens int
	PrefillTokens  int
	// Base is the time to the first event without a queue on an engine of the usual speed.
	Base time.Duration
	// Prefill is the time that the instance needs for the prompt's prefill.
	Prefill time.Duration
	// FetchFrom is the engine from which FetchedTokens are fetched; nil for none.
	FetchFrom     *upstream.Instance
	FetchedTokens int
	// Risk is the part of the streams beside the request that are expected to pause for too long
	// during its prefill.
	Risk float64
	// Harm is the weight of the streams that the request is expected to make late.
	Harm float64
	// Queue is the part of the wait that other requests cause.
	Queue time.Duration
	// Cost is the value by which choices are compared. AddedCost is the amount by which the choice
	// raises the cost of its instance for later requests.
	Cost      time.Duration
	AddedCost time.Duration
	// Unseen is that of the request.
	Unseen Unseen
	// Hold is the time to wait before the request is sent, so that the instance's streams get a
	// break.
	Hold time.Duration

	// recompute is the prefill time of the tokens that another candidate has cached, as the reserve
	// counts it.
	recompute time.Duration
}

// Decision is the result of Choose.
type Decision struct {
	Choice Choice
	// Near are the cheapest choices within the request's limits in the availability zone of Choice,
	// Request.MaxNear at most.
	Near []Choice
	// OK is false when the request is refused.
	OK bool
	// ShortestWait is the shortest expected wait of all candidates, ShortestQueue their shortest
	// queue.
	ShortestWait  time.Duration
	ShortestQueue time.Duration
	// AdmittedFraction is the part of the over-share requests like this one that is admitted; 0
	// when the request is within its organisation's share or was refused before.
	AdmittedFraction float64
}

// Choose returns one of the candidates that are within the request's limits: the cheapest one, or
// one nearly as cheap when other routers have assigned work meanwhile.
func Choose(req Request, candidates []Candidate, speed Speed) Decision {
	var key uint64
	if len(req.Prefixes) > 0 {
		key = req.Prefixes[len(req.Prefixes)-1].Key
	}
	holders := findHolders(candidates)
	d := Decision{ShortestWait: time.Hour, ShortestQueue: time.Hour}
	s := scratchPool.Get().(*scratch)
	defer scratchPool.Put(s)
	s.reset()
	for i := range candidates {
		c := &candidates[i]
		choice := evaluate(&req, c, holders, speed)
		d.ShortestWait = min(d.ShortestWait, choice.Wait)
		d.ShortestQueue = min(d.ShortestQueue, choice.Queue)
		if len(req.Prefixes) > 0 {
			rank := float64(score(key, c.Instance.ID)) / float64(1<<64)
			choice.Cost += time.Duration(float64(tieBreakCost) * (1 - rank))
		}
		s.costs = append(s.costs, choice.Cost)
		s.work = append(s.work, choice.Cost-c.Handicap-zoneCost(&req, c))
		if req.fits(&choice) {
			s.fitting = append(s.fitting, choice)
		}
	}
	if len(s.fitting) == 0 || d.ShortestQueue > req.Limits.Queue {
		return d
	}
	random, unseen := req.Random, req.Unseen.Assigned
	if req.Limits.OverShare {
		d.AdmittedFraction, unseen = req.overShareRoom(s, speed)
		d.AdmittedFraction *= 1 - req.Limits.ShedFraction
		if random >= d.AdmittedFraction {
			return d
		}
		random /= d.AdmittedFraction
	}
	level := fillLevel(s.costs, unseen)
	if excess := req.queueExcess(s.fitting[0].Candidate, s.work, unseen, speed); excess > 0 {
		d.ShortestQueue = req.Limits.Queue + excess
		return d
	}
	picked := req.preferConnected(s.fitting, pick(s.fitting, level, random), unseen/time.Duration(len(s.costs)), random)
	d.Choice, d.OK = s.fitting[picked], true
	d.Choice.AddedCost, d.Choice.Unseen = addedCost(&req, &d.Choice, speed), req.Unseen
	d.Near = req.near(s.fitting, &d.Choice, speed)
	return d
}

// scratch holds the slices of one decision for reuse.
type scratch struct {
	// costs are those of all candidates, fitting the choices within the limits.
	costs []time.Duration
	// work holds the parts of the costs that follow from the load alone.
	work    []time.Duration
	fitting []Choice
}

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

func (s *scratch) reset() { s.costs, s.work, s.fitting = s.costs[:0], s.work[:0], s.fitting[:0] }

// addedCost is the amount by which a choice raises the cost of its instance for later requests.
func addedCost(req *Request, c *Choice, speed Speed) time.Duration {
	if !req.isCall() {
		return speed.prefillTime(c.PrefillTokens) + batchCost(Load{Running: 1}, req.Service.Engine.Slots)
	}
	slots := c.Candidate.Instance.Slots
	next := Load{Running: c.Candidate.Load.Running + 1}
	return callWait(next, slots, speed) - c.Queue + batchCost(Load{Running: 1}, slots)
}

// overOccupied reports whether the request would take more of an engine's slots than its limit.
func overOccupied(req *Request, c *Candidate) bool {
	if req.Limits.Occupancy <= 0 || req.Service.Engine == nil {
		return false
	}
	return float64(c.Load.Running+1) > max(1, req.Limits.Occupancy*float64(req.Service.Engine.Slots))
}

// isCall reports whether the request is a call, which holds a slot and has no prompt to prefill.
func (r *Request) isCall() bool { return r.Service.Engine == nil || r.Work.Prompt == nil }

// evaluate estimates the wait and the cost of a request at a candidate.
func evaluate(req *Request, c *Candidate, holders holders, speed Speed) Choice {
	if req.isCall() {
		return evaluateCall(req, *c, speed)
	}
	choice := Choice{Candidate: *c, Queue: engineQueue(req, c, speed)}
	transfer, recomputeCost := choice.planPrefill(req, holders, speed)
	prefill := c.slowed(speed.prefillTime(choice.PrefillTokens))
	choice.Prefill = prefill
	choice.Base = transfer + speed.FirstEvent + speed.prefillTime(choice.PrefillTokens)
	choice.Wait = choice.Queue + transfer + speed.FirstEvent + prefill
	choice.Risk = req.risk(prefill)
	choice.Harm = choice.Risk * weightAtRisk(c.Load)
	choice.Cost = choice.Wait + c.Handicap + zoneCost(req, c) + batchCost(c.Load, req.Service.Engine.Slots) + recomputeCost
	choice.Cost += time.Duration((choice.Harm + req.exposure(*c)) * float64(lateStreamCost))
	return choice
}

// engineQueue is how long other requests delay the prefill of the request's prompt.
func engineQueue(req *Request, c *Candidate, speed Speed) time.Duration {
	engine := req.Service.Engine
	queue := c.slowed(speed.prefillTime(c.Load.PrefillTokens)) + slotWait(c.Load, engine.Slots, speed)
	if float64(c.Load.KVTokens+req.Work.KVTokens()) > usableKVShare*float64(engine.KVCapacity) {
		queue += kvFullWait
	}
	return queue
}

// planPrefill sets the tokens that the candidate prefills and those that it fetches. It returns the
// duration of the transfer, and the cost of recomputing and of a further copy.
func (choice *Choice) planPrefill(req *Request, holders holders, speed Speed) (transfer, cost time.Duration) {
	c := &choice.Candidate
	cached := c.Cached
	if req.AllowFetch {
		var holder *Candidate
		if transfer, holder = holders.bestFetch(*req, *c, speed); holder != nil {
			cached = holder.Confirmed
			choice.FetchFrom, choice.FetchedTokens = holder.Instance, cached-c.Cached
		}
	}
	choice.UncachedTokens = max(0, req.Work.Prompt.Input-cached)
	choice.PrefillTokens = scaleTokens(choice.UncachedTokens, req.Scale)
	recompute := speed.prefillTime(max(0, holders.maxCached-cached))
	choice.recompute = recompute
	if req.Limits.ReserveIgnoresFetch {
		choice.recompute = speed.prefillTime(max(0, holders.maxCached-c.Cached))
	}
	copied := speed.prefillTime(max(0, cached-c.Cached))
	return transfer, time.Duration(recomputeWeight*float64(recompute) + transferWeight*float64(transfer) + copyWeight*float64(copied))
}

// fits reports whether a choice is within the request's limits.
func (r *Request) fits(c *Choice) bool {
	reserve := time.Duration(r.Limits.RecomputeReserve * float64(c.recompute))
	if c.Wait+reserve > r.Limits.Wait || c.Queue > r.Limits.ChosenQueue {
		return false
	}
	return !overOccupied(r, &c.Candidate) && !r.tooHarmful(*c)
}

// scaleTokens converts a number of prompt tokens into tokens of a short prompt.
func scaleTokens(tokens int, scale float64) int {
	if scale <= 0 {
		return tokens
	}
	return int(float64(tokens) * scale)
}

// QueueLength is the number of requests that would wait for one of an instance's slots, with one
// more than its load.
func QueueLength(l Load, slots int) int { return max(0, l.Running+1-slots) }

// slotWait is how long a request waits for one of an instance's slots.
func slotWait(l Load, slots int, speed Speed) time.Duration {
	return time.Duration(QueueLength(l, slots)) * speed.SlotTurn
}

// batchCost is the cost of running beside other requests.
func batchCost(l Load, slots int) time.Duration {
	return time.Duration(float64(fullBatchCost) * float64(l.Running) / float64(max(1, slots)))
}

func zoneCost(req *Request, c *Candidate) time.Duration {
	if c.Instance.Zone == req.Zone {
		return 0
	}
	return crossZoneCost
}
