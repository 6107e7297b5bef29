package gatewayd

import "time"

const (
	// storeReaders is the number of routers that wait for configurations on behalf of a large
	// fleet, and that read the list of upstreams in a small one. One may be partitioned from the
	// store and another may be dead; the rest query the store when no peer reports.
	storeReaders = 3
	// smallFleet is the largest fleet in which each router waits for configurations itself: that
	// costs few calls there, and a change takes effect as soon as the store returns it.
	smallFleet = 16
	// earlyRouters is the number of routers of a large fleet that query the store without startupWait.
	earlyRouters = 16
)

// turnInterval is the time between the turns of two routers that query the store when no peer
// reports: the first that gets a response reports it to the others.
const turnInterval = 40 * time.Millisecond

// idleListAge is how much older the list of an idle router may be than that of a hub: an idle
// router receives reports twice a second.
const idleListAge = 400 * time.Millisecond

// startupWait is how long a router that starts in a large fleet waits for peers before it queries
// the store.
const startupWait = time.Second

// joinTimeout bounds the wait for a router's rank in the fleet, which its other duties depend on.
const joinTimeout = 2 * time.Second

// ranking is the router's rank in the fleet, which determines its duties.
type ranking interface {
	// Count returns the number of routers alive, Rank this router's rank among them.
	Count() int
	Rank() int
}

// storeDuties implements catalog.Role.
type storeDuties struct {
	ranking ranking
	// joined reports whether the router knows its rank, as far as the store responds.
	joined func() bool
}

// ReadsInstances reports whether this router reads the list of upstreams. In a large fleet only one
// does, as the list changes all the time; the next one takes over when it is silent.
func (d storeDuties) ReadsInstances() bool {
	if d.large() {
		return d.ranking.Rank() == 0
	}
	return d.ranking.Rank() < storeReaders
}

// HasManyFollowers reports whether many other routers depend on what this router reads.
func (d storeDuties) HasManyFollowers() bool { return d.large() && d.ReadsInstances() }

// FallbackDelay returns how long after the first routers this one queries the store when no peer reports.
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

// WaitsForPeers reports whether a router that started waited ago still waits for peers' reports.
func (d storeDuties) WaitsForPeers(waited time.Duration) bool {
	if !d.joined() {
		return waited < joinTimeout
	}
	return d.large() && d.ranking.Rank() >= earlyRouters && waited < startupWait
}

// StoreClients returns the number of routers that query the store when it fails.
func (d storeDuties) StoreClients() int { return d.ranking.Count() }

// ReadsConfig reports whether this router waits for configurations.
func (d storeDuties) ReadsConfig() bool { return !d.large() || d.ranking.Rank() < storeReaders }

func (d storeDuties) large() bool { return d.ranking.Count() > smallFleet }
