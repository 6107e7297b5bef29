package shedding

import (
	"math"
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

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
	//
	// A copy is no way out for those far over their share. Free to run anywhere, they take the
	// idle engines from those within theirs and push out what is kept there.
	farOverReserve = 10
	farOver        = 2
	// harmAtShare is the weight of the streams that a prompt of an organisation which has just
	// its share may make late: those of a moderately busy engine. One that is further over its
	// share must find an engine with less to spoil. Without it most of the prompts that make
	// others' streams pause for too long are of organisations over their share.
	harmAtShare = 40
	// leastOccupancy is the part of an engine's slots that an organisation may take up to
	// floorEnd times its share: what others leave idle.
	leastOccupancy = 0.25
	floorEnd       = 8
	// ownQueue is how much longer than the shortest queue an organisation over its share
	// may find the one that it waits in.
	ownQueue = 3
	// mostAhead is how far an organisation may be ahead of another that asks for as much before
	// it gives way: less than unfair by what reports are late.
	mostAhead = 1.5
	// unfair is how far ahead an organisation gets nothing more.
	unfair = 2.0
	// catchingUp is the power of how far it is ahead by which it counts as further over its share:
	// twice that of the standing, as it must give way within seconds.
	catchingUp = 4.0
	// wellOver is the share from which on an organisation has more than what its due may be by
	// the next report.
	wellOver = 1.5
	// yielding is the power of the standing by which the queue limit falls.
	yielding = 2.0
)

const (
	// callPatience bounds the wait for a plain service, whose calls take milliseconds.
	callPatience = 400 * time.Millisecond
	// leastCallPatience is the part of what an objective allows that a call may wait at least:
	// one that is late already still serves its caller.
	leastCallPatience = 0.25
)

// Call gives the limits of a call to a plain service that takes long once it has a slot; 0 while
// that isn't known.
//
// Load pattern: for seconds more calls come than the service can serve. Whoever waits for longer
// than the objective allows is late and makes all behind it late.
func Call(objective, waited, long time.Duration) placement.Limits {
	wait := callPatience
	if long > 0 && objective > 0 {
		most := patience * float64(objective)
		wait = min(wait, time.Duration(max(leastCallPatience*most, most-float64(waited+long))))
	}
	return placement.Limits{Wait: wait, Queue: wait, OwnQueue: wait}
}

// Prompt gives the limits of a request to a model engine.
func Prompt(a Ask) placement.Limits {
	objective := float64(a.Objective)
	wait := time.Duration(max(patience*objective-float64(a.Waited), float64(a.Reading)+longPatience*objective))
	l := placement.Limits{Wait: wait, Queue: wait, OwnQueue: wait, Reserve: reserve}
	if a.Standing.Share < short {
		l.Reserve = shortReserve
	}
	if a.Standing.Share > 1 {
		yield(&l, a)
	}
	return l
}

// yield lowers the limits of an organisation over its share.
func yield(l *placement.Limits, a Ask) {
	share := a.Standing.Share
	over := share * furtherOver(a.Standing)
	l.Spare = true
	l.Queue = time.Duration(impatience * float64(a.Objective) / math.Pow(over, yielding))
	l.OwnQueue = time.Duration(ownQueue * float64(l.Queue))
	l.Harm = harmAtShare / over
	l.HeldBack = heldBack(a.Standing)
	if share > farOver {
		l.Reserve, l.Stay = farOverReserve, true
	}
	if a.Standing.Full {
		l.Occupancy = occupancy(share)
	}
}

// furtherOver is how many times further over its share an organisation counts that is far ahead of
// another one which asks for as much.
//
// Guard: all callers of an organisation may come to one small router, which reads only some of
// what they ask and is refused most of that, as over its share. Another one, whose callers come
// to a strong router, gets over twice as much of what is left by asking more often. Counted as
// further over its share, it leaves shorter queues to whatever the small router reads. What is held
// back is beyond its due.
//
// One that has little more than its due is never held back: shares are means of two seconds, and
// on the next look it may have less.
func furtherOver(s placement.Standing) float64 {
	if s.Share < wellOver {
		return 1
	}
	return math.Pow(max(1, s.Ahead/mostAhead), catchingUp)
}

// heldBack is the part of its requests that an organisation far ahead of another one, which asks for
// as much, does without.
//
// Guard: limits by queues hold nobody back while engines are idle. An organisation at a strong
// router then took whatever it asked for, twice as much and more than another one whose small
// router had no processor to ask for it. From mostAhead on it gets ever less, and nothing at twice
// what the other one has, so it can't stay there.
func heldBack(s placement.Standing) float64 {
	if s.Share < wellOver {
		return 0
	}
	return min(1, max(0, (s.Ahead-mostAhead)/(unfair-mostAhead)))
}

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
