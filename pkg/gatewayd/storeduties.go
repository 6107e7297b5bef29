package gatewayd

import "time"

const (
	// storeReaders is how many routers wait for configurations for all, and in a small fleet read
	// the list of upstreams. One may be cut off from the store and another be gone; the rest
	// ask it when none tells them.
	storeReaders = 3
	// smallFleet is the largest fleet in which each router waits for configurations itself:
	// there that costs few calls, and a change is in force as soon as the store tells it.
	smallFleet = 16
	// earlyRouters is how many routers of a large fleet ask the store first when no peer reports.
	earlyRouters = 16
)

// turnInterval is the pause between the turns of two routers that ask the store when nobody
// tells them: the first that is answered tells the others.
const turnInterval = 40 * time.Millisecond

// idleListAge is by how much older the list of a router without work may be than that of a hub: it
// hears of the others twice a second.
const idleListAge = 400 * time.Millisecond

// startupWait is how long a router that starts in a large fleet leaves the store to others.
const startupWait = time.Second

// joinTimeout bounds the wait for a router's place in the fleet, which its other duties follow
// from.
const joinTimeout = 2 * time.Second

// ranking is what duties follow from.
type ranking interface {
	// Count is the number of routers alive, Rank this router's place among them.
	Count() int
	Rank() int
}

// storeDuties implements catalog.Role.
type storeDuties struct {
	ranking ranking
	// joined reports whether the router has found its place, as far as the store answers.
	joined func() bool
}

// ReadsInstances reports whether this router reads the list of upstreams. In a large fleet
// one does: its list changes all the time, and the next one takes over when it is silent.
func (d storeDuties) ReadsInstances() bool {
	if d.large() {
		return d.ranking.Rank() == 0
	}
	return d.ranking.Rank() < storeReaders
}

// HasManyFollowers reports whether many others go by what this router reads.
func (d storeDuties) HasManyFollowers() bool { return d.large() && d.ReadsInstances() }

// FallbackDelay is how long after the first ones this router asks the store when nobody tells it.
func (d storeDuties) FallbackDelay() time.Duration {
	if !d.large() {
		return 0
	}
	turn := time.Duration(d.ranking.Rank()) * turnInterval
	if d.ranking.Rank() >= storeReaders {
		turn += idleListAge
	}
	return turn
}

// WaitsForPeers reports whether a router that started waited ago leaves the store to others yet.
func (d storeDuties) WaitsForPeers(waited time.Duration) bool {
	if !d.joined() {
		return waited < joinTimeout
	}
	return d.large() && d.ranking.Rank() >= earlyRouters && waited < startupWait
}

// StoreClients is how many routers ask the store when it fails.
func (d storeDuties) StoreClients() int { return d.ranking.Count() }

// ReadsConfig reports whether this router waits for configurations.
func (d storeDuties) ReadsConfig() bool { return !d.large() || d.ranking.Rank() < storeReaders }

func (d storeDuties) large() bool { return d.ranking.Count() > smallFleet }
