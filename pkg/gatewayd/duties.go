package gatewayd

import "time"

const (
	// readers is how many routers wait for configurations for all, and in a small fleet read
	// the list of upstreams. One may be cut off from the store and another be gone; the rest
	// ask it when none tells them.
	readers = 3
	// smallFleet is the largest fleet in which each router waits for configurations itself:
	// there that costs few calls, and a change is in force as soon as the store tells it.
	smallFleet = 16
	// first is how many routers of a large fleet ask the store first when none tells them.
	first = 16
)

// turnEvery is the pause between the turns of two routers that ask the store when nobody
// tells them: the first that is answered tells the others.
const turnEvery = 40 * time.Millisecond

// idleAge is by how much older the list of a router without work may be than that of a hub: it
// hears of the others twice a second.
const idleAge = 400 * time.Millisecond

// hearFirst is how long a router that starts in a large fleet leaves the store to others.
const hearFirst = time.Second

// joinsWithin bounds the wait for a router's place in the fleet, which its other duties follow
// from.
const joinsWithin = 2 * time.Second

// ranks is what duties follow from.
type ranks interface {
	// Count is the number of routers alive, Rank this router's place among them.
	Count() int
	Rank() int
}

// duties implements catalog.Duties.
type duties struct {
	ranks ranks
	// settled reports whether the router has found its place, as far as the store answers.
	settled func() bool
}

// ReadsInstances reports whether this router reads the list of upstreams. In a large fleet
// one does: its list changes all the time, and the next one takes over when it is silent.
func (d duties) ReadsInstances() bool {
	if d.large() {
		return d.ranks.Rank() == 0
	}
	return d.ranks.Rank() < readers
}

// TellsMany reports whether many others go by what this router reads.
func (d duties) TellsMany() bool { return d.large() && d.ReadsInstances() }

// Turn is how long after the first ones this router asks the store when nobody tells it.
func (d duties) Turn() time.Duration {
	if !d.large() {
		return 0
	}
	turn := time.Duration(d.ranks.Rank()) * turnEvery
	if d.ranks.Rank() >= readers {
		turn += idleAge
	}
	return turn
}

// HearsFirst reports whether a router that started waited ago leaves the store to others yet.
func (d duties) HearsFirst(waited time.Duration) bool {
	if !d.settled() {
		return waited < joinsWithin
	}
	return d.large() && d.ranks.Rank() >= first && waited < hearFirst
}

// Callers is how many routers ask the store when it fails.
func (d duties) Callers() int { return d.ranks.Count() }

// ReadsConfig reports whether this router waits for configurations.
func (d duties) ReadsConfig() bool { return !d.large() || d.ranks.Rank() < readers }

func (d duties) large() bool { return d.ranks.Count() > smallFleet }
