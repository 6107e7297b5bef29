package placement

import (
	"cmp"
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
	Work    Work
	Chain   []Link
	Service *routing.Service
	Zone    string
	Limits  Limits
	// Scale is the prefill time of a token of this prompt over that of a short prompt's token; 0
	// counts as 1.
	Scale float64
	// MaxPause is the longest pause between two events that the service's streams may make; 0 when
	// pauses aren't considered. Pauses estimates the pause that a prefill causes.
	MaxPause time.Duration
	Pauses   pace.Curve
	// Fetch is whether cached parts may be fetched from another engine.
	Fetch bool
	// Unseen is the traffic at other routers since the candidates' loads were counted. Draw is a
	// random number in [0, 1) that spreads the choices of many routers.
	Unseen Unseen
	Draw   float64
}

// Choice is an instance and the estimates for the request there.
type Choice struct {
	Candidate Candidate
	// Wait is the expected time to the first event.
	Wait time.Duration
	// Unread is the number of prompt tokens that aren't in the instance's cache, Reading the same
	// in tokens of a short prompt.
	Unread  int
	Reading int
	// Base is the time to the first event without a queue on an engine of the usual speed.
	Base time.Duration
	// Holder is the engine from which Fetched tokens are fetched; nil for none.
	Holder  *upstream.Instance
	Fetched int
	// Risk is the part of the streams beside the request that are expected to pause for too long
	// during its prefill.
	Risk float64
	// Harm is the weight of the streams that the request is expected to make late.
	Harm float64
	// Queue is the part of the wait that other requests cause.
	Queue time.Duration
	// Cost is the value by which choices are compared. Added is the amount by which the choice
	// raises the cost of its instance for later requests.
	Cost  time.Duration
	Added time.Duration
	// Unseen is that of the request.
	Unseen Unseen

	// recompute is the prefill time of the tokens that another candidate has cached, as the reserve
	// counts it.
	recompute time.Duration
}

// Verdict is the result of Choose.
type Verdict struct {
	Choice Choice
	// OK is false when the request is refused.
	OK bool
	// Soonest is the shortest expected wait of all candidates, Queue their shortest queue.
	Soonest time.Duration
	Queue   time.Duration
	// Part is the part of the over-share requests like this one that is admitted; 0 when the
	// request is within its organisation's share or was refused before.
	Part float64
}

// Choose returns one of the candidates that are within the request's limits: the cheapest one, or
// one nearly as cheap when other routers have assigned work meanwhile.
func Choose(req Request, candidates []Candidate, p Pace) Verdict {
	var key uint64
	if len(req.Chain) > 0 {
		key = req.Chain[len(req.Chain)-1].Key
	}
	holders := findHolders(candidates)
	v := Verdict{Soonest: time.Hour, Queue: time.Hour}
	s := scratchPool.Get().(*scratch)
	defer scratchPool.Put(s)
	s.reset()
	for _, c := range candidates {
		choice := evaluate(req, c, holders, p)
		v.Soonest = min(v.Soonest, choice.Wait)
		v.Queue = min(v.Queue, choice.Queue)
		if len(req.Chain) > 0 {
			rank := float64(score(key, c.Instance.ID)) / float64(1<<64)
			choice.Cost += time.Duration(float64(tieBreakCost) * (1 - rank))
		}
		s.costs = append(s.costs, choice.Cost)
		s.work = append(s.work, choice.Cost-c.Handicap-zoneCost(req, c))
		if req.fits(choice) {
			s.fitting = append(s.fitting, choice)
		}
	}
	if len(s.fitting) == 0 || v.Queue > req.Limits.Queue {
		return v
	}
	random, unseen := req.Draw, req.Unseen.Given
	if req.Limits.Spare {
		v.Part, unseen = req.overShareRoom(s, p)
		v.Part *= 1 - req.Limits.HeldBack
		if random >= v.Part {
			return v
		}
		random /= v.Part
	}
	level := fillLevel(s.costs, unseen)
	if excess := req.queueExcess(s.fitting[0].Candidate, s.work, unseen, p); excess > 0 {
		v.Queue = req.Limits.Queue + excess
		return v
	}
	v.Choice, v.OK = s.fitting[pick(s.fitting, level, random)], true
	v.Choice.Added, v.Choice.Unseen = addedCost(req, v.Choice, p), req.Unseen
	return v
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
func addedCost(req Request, c Choice, p Pace) time.Duration {
	if !req.isCall() {
		return p.prefillTime(c.Reading) + batchCost(Load{Running: 1}, req.Service.Engine.Slots)
	}
	slots := c.Candidate.Instance.Slots
	next := Load{Running: c.Candidate.Load.Running + 1}
	return callWait(next, slots, p) - c.Queue + batchCost(Load{Running: 1}, slots)
}

// overOccupied reports whether the request would take more of an engine's slots than its limit.
func overOccupied(req Request, c Candidate) bool {
	if req.Limits.Occupancy <= 0 || req.Service.Engine == nil {
		return false
	}
	return float64(c.Load.Running+1) > max(1, req.Limits.Occupancy*float64(req.Service.Engine.Slots))
}

// isCall reports whether the request is a call, which holds a slot and has no prompt to prefill.
func (r *Request) isCall() bool { return r.Service.Engine == nil || r.Work.Prompt == nil }

// evaluate estimates the wait and the cost of a request at a candidate.
func evaluate(req Request, c Candidate, holders holders, p Pace) Choice {
	if req.isCall() {
		return evaluateCall(req, c, p)
	}
	choice := Choice{Candidate: c, Queue: engineQueue(req, c, p)}
	transfer, recomputeCost := choice.planPrefill(req, holders, p)
	prefill := c.slowed(p.prefillTime(choice.Reading))
	choice.Base = transfer + p.First + p.prefillTime(choice.Reading)
	choice.Wait = choice.Queue + transfer + p.First + prefill
	choice.Risk = req.risk(prefill)
	choice.Harm = choice.Risk * weightAtRisk(c.Load)
	choice.Cost = choice.Wait + c.Handicap + zoneCost(req, c) + batchCost(c.Load, req.Service.Engine.Slots) + recomputeCost
	choice.Cost += time.Duration((choice.Harm + req.exposure(c)) * float64(lateStreamCost))
	return choice
}

// engineQueue is how long other requests delay the prefill of the request's prompt.
func engineQueue(req Request, c Candidate, p Pace) time.Duration {
	engine := req.Service.Engine
	queue := c.slowed(p.prefillTime(c.Load.Unread)) + slotWait(c.Load, engine.Slots, p)
	if float64(c.Load.Memory+req.Work.Memory()) > usableKVShare*float64(engine.KVCapacity) {
		queue += kvFullWait
	}
	return queue
}

// planPrefill sets the tokens that the candidate prefills and those that it fetches. It returns the
// duration of the transfer, and the cost of recomputing and of a further copy.
func (choice *Choice) planPrefill(req Request, holders holders, p Pace) (transfer, cost time.Duration) {
	c := choice.Candidate
	cached := c.Kept
	transfer, holder := holders.bestFetch(req, c, p)
	if holder != nil {
		cached = holder.Settled
		choice.Holder, choice.Fetched = holder.Instance, cached-c.Kept
	}
	choice.Unread = max(0, req.Work.Prompt.Input-cached)
	choice.Reading = scaleTokens(choice.Unread, req.Scale)
	recompute := p.prefillTime(max(0, holders.maxCached-cached))
	choice.recompute = recompute
	if req.Limits.Stay {
		choice.recompute = p.prefillTime(max(0, holders.maxCached-c.Kept))
	}
	copied := p.prefillTime(max(0, cached-c.Kept))
	return transfer, time.Duration(recomputeWeight*float64(recompute) + transferWeight*float64(transfer) + copyWeight*float64(copied))
}

// fits reports whether a choice is within the request's limits.
func (r *Request) fits(c Choice) bool {
	reserve := time.Duration(r.Limits.Reserve * float64(c.recompute))
	if c.Wait+reserve > r.Limits.Wait || c.Queue > r.Limits.OwnQueue {
		return false
	}
	return !overOccupied(*r, c.Candidate) && !r.tooHarmful(c)
}

// scaleTokens converts a number of prompt tokens into tokens of a short prompt.
func scaleTokens(tokens int, scale float64) int {
	if scale <= 0 {
		return tokens
	}
	return int(float64(tokens) * scale)
}

func evaluateCall(req Request, c Candidate, p Pace) Choice {
	c.Load.Running -= req.callsEnded(c, p)
	wait := callWait(c.Load, c.Instance.Slots, p)
	cost := wait + c.Handicap + zoneCost(req, c) + batchCost(c.Load, c.Instance.Slots)
	return Choice{Candidate: c, Wait: wait, Cost: cost, Queue: wait}
}

// Waiting is the number of requests that would wait for one of an instance's slots, with one more
// than its load.
func Waiting(l Load, slots int) int { return max(0, l.Running+1-slots) }

// callWait is how long a call waits for a slot: for each waiting request the duration of a call
// divided by the number of slots. Until that duration is known, a slot's turn takes its place.
func callWait(l Load, slots int, p Pace) time.Duration {
	return time.Duration(Waiting(l, slots)) * cmp.Or(p.Call, p.Slot) / time.Duration(max(1, slots))
}

// callsEnded estimates the calls that have ended at an instance since its load was counted.
func (r *Request) callsEnded(c Candidate, p Pace) int {
	if p.Call <= 0 {
		return 0
	}
	busy := min(c.Load.Running, c.Instance.Slots)
	return min(c.Load.Running, int(float64(busy)*float64(r.Unseen.Age)/float64(p.Call)))
}

// slotWait is how long a request waits for one of an instance's slots.
func slotWait(l Load, slots int, p Pace) time.Duration {
	return time.Duration(Waiting(l, slots)) * p.Slot
}

// batchCost is the cost of running beside other requests.
func batchCost(l Load, slots int) time.Duration {
	return time.Duration(float64(fullBatchCost) * float64(l.Running) / float64(max(1, slots)))
}

func zoneCost(req Request, c Candidate) time.Duration {
	if c.Instance.Zone == req.Zone {
		return 0
	}
	return crossZoneCost
}
