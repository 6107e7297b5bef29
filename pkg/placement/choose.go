package placement

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/routing"
)

// Weights of costs other than waiting.
const (
	// rereadWeight is what a millisecond of reading shared parts again counts against one
	// of waiting: it also takes that time from the requests beside it.
	rereadWeight = 6.0
	// batchCost is the cost of a full batch: each running request slows the others' tokens.
	batchCost = 60 * time.Millisecond
	// farCost prefers an instance in the router's own zone where all else is equal.
	farCost = 3 * time.Millisecond
	// orderCost spreads prompts that nobody keeps yet in one order for all routers, so
	// that two routers which meet the same new part at once choose the same engine.
	orderCost = 25 * time.Millisecond
	// memoryShare is the part of an engine's memory that is planned with: when it is full,
	// running requests are put out and read again.
	memoryShare = 0.92
	// noMemoryWait keeps work from engines without room while others have some.
	noMemoryWait = 3 * time.Second
)

// Request is what Choose decides about.
type Request struct {
	Work    Work
	Chain   []Link
	Service *routing.Service
	Zone    string
	// Limit is the longest wait to the first event that is worth starting.
	Limit time.Duration
	// QueueLimit refuses the request unless the queue of some candidate is within it,
	// wherever the request is then sent.
	QueueLimit time.Duration
	// OwnQueueLimit is the longest queue of the candidate that is chosen.
	OwnQueueLimit time.Duration
	// Occupancy is the part of an engine's slots that may be taken, one at least; 0 for any.
	Occupancy float64
	// Reserve is how often the time for reading again what another candidate keeps must
	// fit within the limit beside the wait: an engine that is nearly full does better to
	// serve prompts that it keeps.
	Reserve float64
}

// Choice is an instance and what was expected of it.
type Choice struct {
	Candidate Candidate
	// Wait is the expected time to the first event.
	Wait time.Duration
	// Unread is the number of prompt tokens that it has to read.
	Unread int
	// Cost is what was compared.
	Cost time.Duration

	// reread is the time for tokens that another candidate keeps.
	reread time.Duration
	// queue is the part of the wait that others cause.
	queue time.Duration
}

// Verdict is what Choose found.
type Verdict struct {
	Choice Choice
	// OK is false when no candidate is within the limit.
	OK bool
	// Soonest is the shortest wait of all candidates, Queue the shortest one without what
	// the request itself has to have read.
	Soonest time.Duration
	Queue   time.Duration
}

// Choose gives the candidate with the least cost of those whose wait is within the limit.
func Choose(req Request, candidates []Candidate, pace Pace) Verdict {
	var key uint64
	if len(req.Chain) > 0 {
		key = req.Chain[len(req.Chain)-1].Key
	}
	best := bestKept(candidates)
	v := Verdict{Soonest: time.Hour, Queue: time.Hour}
	for _, c := range candidates {
		choice := evaluate(req, c, best, pace)
		v.Soonest = min(v.Soonest, choice.Wait)
		v.Queue = min(v.Queue, choice.queue)
		if choice.Wait+time.Duration(req.Reserve*float64(choice.reread)) > req.Limit || choice.queue > req.OwnQueueLimit || crowded(req, c) {
			continue
		}
		rank := float64(score(key, c.Instance.ID)) / float64(1<<64)
		choice.Cost += time.Duration(float64(orderCost) * (1 - rank))
		if !v.OK || choice.Cost < v.Choice.Cost {
			v.Choice, v.OK = choice, true
		}
	}
	if v.Queue > req.QueueLimit {
		v.OK = false
	}
	return v
}

// crowded reports whether more of an engine's slots are taken than the request may find.
func crowded(req Request, c Candidate) bool {
	if req.Occupancy <= 0 || req.Service.Engine == nil {
		return false
	}
	return float64(c.Load.Running+1) > max(1, req.Occupancy*float64(req.Service.Engine.Slots))
}

// bestKept is the most that any candidate keeps of the prompt. What nobody keeps has to
// be read in any case.
func bestKept(candidates []Candidate) int {
	best := 0
	for _, c := range candidates {
		best = max(best, c.Kept)
	}
	return best
}

func evaluate(req Request, c Candidate, best int, pace Pace) Choice {
	if req.Service.Engine == nil || req.Work.Prompt == nil {
		return evaluateCall(req, c, pace)
	}
	slots := req.Service.Engine.Slots
	unread := max(0, req.Work.Prompt.Input-c.Kept)
	queue := pace.reading(c.Load.Unread) + slotWait(c.Load, slots, pace)
	if float64(c.Load.Memory+req.Work.Memory()) > memoryShare*float64(req.Service.Engine.KVCapacity) {
		queue += noMemoryWait
	}
	wait := queue + pace.First + pace.reading(unread)
	cost := wait + c.Handicap + far(req, c) + batch(c.Load, slots)
	reread := pace.reading(best - c.Kept)
	cost += time.Duration(rereadWeight * float64(reread))
	return Choice{Candidate: c, Wait: wait, Unread: unread, Cost: cost, reread: reread, queue: queue}
}

func evaluateCall(req Request, c Candidate, pace Pace) Choice {
	wait := slotWait(c.Load, c.Instance.Slots, pace)
	cost := wait + c.Handicap + far(req, c) + batch(c.Load, c.Instance.Slots)
	return Choice{Candidate: c, Wait: wait, Cost: cost, queue: wait}
}

// slotWait is how long a request waits for one of an instance's slots.
func slotWait(l Load, slots int, pace Pace) time.Duration {
	over := l.Running + 1 - slots
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * pace.Slot
}

// batch is the cost of running beside others.
func batch(l Load, slots int) time.Duration {
	return time.Duration(float64(batchCost) * float64(l.Running) / float64(max(1, slots)))
}

func far(req Request, c Candidate) time.Duration {
	if c.Instance.Zone == req.Zone {
		return 0
	}
	return farCost
}
