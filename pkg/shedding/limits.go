package shedding

import (
	"math"
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Shares of a route's objective that a request may be expected to wait for its first event.
const (
	// maxWaitShare is the usual limit: the rest of the objective covers the way to the caller and
	// errors of the estimate.
	maxWaitShare = 0.8
	// overShareQueueShare is the queue limit of an organisation that has just its share. It falls
	// with the share ratio, so that of several organisations the one that is furthest over its
	// share gets least.
	overShareQueueShare = 0.35
	// minWaitShare is the wait that a request may have beside the prefill of its own prompt: a
	// prompt whose prefill takes longer than the objective is late anywhere.
	minWaitShare = 0.4
)

const (
	// reserve is the usual reserve for recomputing a prompt. underShareReserve is that of
	// organisations that get less than underShare of what they are due: they must not wait for the
	// one engine that has their prompt cached.
	reserve           = 3
	underShareReserve = 2
	underShare        = 0.7
	// farOverReserve is the reserve of organisations that get more than farOver times their share:
	// they wait for the engine that has their prompt cached, or are refused. Those just over their
	// share may move: bound to a busy engine they would get less than an organisation far over its
	// share.
	//
	// Fetching is no way around the reserve for those far over their share: if they could run
	// anywhere, they would take the idle engines from those within their share and evict what is
	// cached there.
	farOverReserve = 10
	farOver        = 2
	// maxHarmAtShare is the weight of the streams that a prompt of an organisation which has just
	// its share may make late: those of a moderately busy engine. The further an organisation is
	// over its share, the less its prompts may harm. Without this bound most prompts that make
	// others' streams pause for too long are of organisations over their share.
	maxHarmAtShare = 40
	// occupancyFloor is the part of an engine's slots that an organisation may take up to
	// floorEndShare times its share: what others leave idle.
	occupancyFloor = 0.25
	floorEndShare  = 8
	// chosenQueueFactor is how much longer than the limit of the shortest queue the queue that the
	// request waits in may be.
	chosenQueueFactor = 3
	// tolerableAhead is how far an organisation may be ahead of another one that asks for as much
	// before its limits are lowered: below maxAhead, as reports are late.
	tolerableAhead = 1.5
	// maxAhead is how far ahead an organisation gets nothing more.
	maxAhead = 2.0
	// aheadExponent is the power of the excess ahead by which the share ratio is scaled: twice
	// queueExponent, as the limits must take effect within seconds.
	aheadExponent = 4.0
	// minShareAhead is the share ratio from which on an organisation ahead of others is limited
	// further: below it, its due may exceed what it gets by the next report.
	minShareAhead = 1.5
	// queueExponent is the power of the share ratio by which the queue limit falls.
	queueExponent = 2.0
)

const (
	// maxCallWait bounds the wait for a plain service, whose calls take milliseconds.
	maxCallWait = 400 * time.Millisecond
	// minCallWaitShare is the part of the wait allowed by an objective that a call may always wait:
	// a late answer still serves its caller.
	minCallWaitShare = 0.25
)

// CallLimits returns the limits of a call to a plain service that takes duration once it has a
// slot; 0 while that isn't known.
//
// Under overload more calls arrive than the service can serve. A call that waits for longer than
// the objective allows is late and makes all behind it late.
func CallLimits(objective, waited, duration time.Duration) placement.Limits {
	wait := maxCallWait
	if duration > 0 && objective > 0 {
		budget := maxWaitShare * float64(objective)
		wait = min(wait, time.Duration(max(minCallWaitShare*budget, budget-float64(waited+duration))))
	}
	return placement.Limits{Wait: wait, Queue: wait, ChosenQueue: wait}
}

// PromptLimits returns the limits of a request to a model engine.
func PromptLimits(r Request) placement.Limits {
	objective := float64(r.Objective)
	wait := time.Duration(max(maxWaitShare*objective-float64(r.Waited), float64(r.Prefill)+minWaitShare*objective))
	l := placement.Limits{Wait: wait, Queue: wait, ChosenQueue: wait, RecomputeReserve: reserve}
	if r.Standing.ShareRatio < underShare {
		l.RecomputeReserve = underShareReserve
	}
	if r.Standing.ShareRatio > 1 {
		limitOverShare(&l, r)
	}
	return l
}

// maxResumeWait is the least wait that a stream which goes on may have: its caller has part of the
// answer and gives up after two seconds without an event.
const maxResumeWait = time.Second

// ResumeLimits returns the limits of a stream that goes on at a model engine. Its prompt was read and
// its caller has part of the answer, and only engines of one software version are left to it, so it
// comes before new streams whatever its organisation gets.
func ResumeLimits(r Request) placement.Limits {
	r.Standing, r.Waited = placement.Standing{}, 0
	l := PromptLimits(r)
	l.Wait = max(l.Wait, r.Prefill+maxResumeWait)
	l.Queue, l.ChosenQueue, l.RecomputeReserve = l.Wait, l.Wait, 0
	return l
}

// limitOverShare lowers the limits of an organisation over its share.
func limitOverShare(l *placement.Limits, r Request) {
	share := r.Standing.ShareRatio
	scaledShare := share * aheadFactor(r.Standing)
	l.OverShare = true
	l.Queue = time.Duration(overShareQueueShare * float64(r.Objective) / math.Pow(scaledShare, queueExponent))
	l.ChosenQueue = time.Duration(chosenQueueFactor * float64(l.Queue))
	l.Harm = maxHarmAtShare / scaledShare
	l.ShedFraction = shedFraction(r.Standing)
	if share > farOver {
		l.RecomputeReserve, l.ReserveIgnoresFetch = farOverReserve, true
	}
	if r.Standing.AtCapacity {
		l.Occupancy = maxOccupancy(share)
	}
}

// aheadFactor scales the share ratio of an organisation that is far ahead of another one which asks
// for as much.
//
// All callers of an organisation may use one small router, which handles only some of their
// requests and refuses most of those, as over the share. Another organisation, whose callers use a
// larger router, gets over twice as much of the spare capacity by asking more often. Lower limits
// for it leave shorter queues to the requests of the small router. Only capacity beyond its due is
// withheld.
//
// An organisation with little more than its due is exempt: shares are means over two seconds, and
// by the next report it may have less.
func aheadFactor(s placement.Standing) float64 {
	if s.ShareRatio < minShareAhead {
		return 1
	}
	return math.Pow(max(1, s.Ahead/tolerableAhead), aheadExponent)
}

// shedFraction is the part of the requests of an organisation far ahead of another one, which asks
// for as much, that is refused.
//
// Queue limits hold nobody back while engines are idle: an organisation at a large router could
// take whatever it asks for, more than twice what another one gets whose small router lacks the
// processor time to place its requests. From tolerableAhead on it gets less, and at maxAhead
// nothing, so it can't stay there.
func shedFraction(s placement.Standing) float64 {
	if s.ShareRatio < minShareAhead {
		return 0
	}
	return min(1, max(0, (s.Ahead-tolerableAhead)/(maxAhead-tolerableAhead)))
}

// maxOccupancy is the part of an engine's slots that an organisation with that share ratio may
// take.
//
// With the same part for all that are far over their share, the one that asks most would get most,
// as it finds each free slot first, and another one less than half of that. So the part goes on
// falling beyond floorEndShare; an idle engine still accepts any request.
func maxOccupancy(share float64) float64 {
	floor := occupancyFloor * min(1, floorEndShare/share)
	return max(floor, 1/share)
}
