package catalog

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Timing of simulated upstreams: entries expire after three heartbeats, and reappear within a
// heartbeat of the store's recovery.
const (
	simHeartbeat = 1200 * time.Millisecond
	simEntryTTL  = 3 * simHeartbeat
	simLatency   = 4 * time.Millisecond
)

// sim simulates a store with upstreams, and routers that are cut off from it and from each other.
type sim struct {
	mu      sync.Mutex
	random  *rand.Rand
	history history
	// storeDown is whether the store is unavailable, storeChangedAt when that last changed.
	storeDown      bool
	storeChangedAt time.Time
	// departed is when each upstream left while the store had been available for a while; earlier
	// departures are not checked. alive holds the others and when each last renewed its entry.
	departed map[upstream.ID]time.Time
	alive    map[upstream.ID]time.Time
	// nextHeartbeat is when an upstream tries to renew its entry next.
	nextHeartbeat map[upstream.ID]time.Time
	nextID        int

	routers []*simRouter
}

// simRouter is a router of the simulation.
type simRouter struct {
	sim     *sim
	rank    int
	catalog *Catalog
	// cutStore and cutPeers are the times until which it is cut off from the store and from its peers.
	cutStore, cutPeers time.Time
	// known are the upstreams that it has used.
	known map[upstream.ID]bool
}

const simService = "s"

// simReports is the number of reports in a step: each router reports to each other one in about 100 ms.
const simReports = 5

// simUpstreams is how many upstreams serve at a time, simRouters the number of routers.
const (
	simUpstreams = 8
	simRouters   = 5
)

func newSim(seed uint64, l log.Interface) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 0)), history: history{states: []map[upstream.ID]upstream.Instance{{}}},
		departed: make(map[upstream.ID]time.Time), alive: make(map[upstream.ID]time.Time), nextHeartbeat: make(map[upstream.ID]time.Time), storeChangedAt: time.Now()}
	for range simUpstreams {
		s.addUpstream()
	}
	for rank := range simRouters {
		s.routers = append(s.routers, &simRouter{sim: s, rank: rank, catalog: New(l), known: make(map[upstream.ID]bool)})
	}
	return s
}

func (s *sim) addUpstream() {
	id := upstream.ID(fmt.Sprint("u", s.nextID))
	s.nextID++
	s.alive[id] = time.Now()
	s.nextHeartbeat[id] = time.Now().Add(time.Duration(s.random.Int64N(int64(simHeartbeat))))
	s.history.write(id, &upstream.Instance{ID: id, Service: simService, State: upstream.Ready})
}

// removeUpstream removes an upstream, with or without draining first.
func (s *sim) removeUpstream() {
	ids := slices.Sorted(maps.Keys(s.alive))
	id := ids[s.random.IntN(len(ids))]
	delete(s.alive, id)
	if time.Since(s.storeChangedAt) >= recoveryLimit {
		s.departed[id] = time.Now()
	}
	if s.random.IntN(2) == 0 {
		s.history.write(id, &upstream.Instance{ID: id, Service: simService, State: upstream.Draining})
		return
	}
	s.history.write(id, nil)
}

// heartbeat renews entries while the store is available, and removes those that expired.
func (s *sim) heartbeat(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.alive)) {
		_, listed := s.history.at(s.history.newest())[id]
		if now.Before(s.nextHeartbeat[id]) {
			// The next heartbeat is not due.
		} else if s.nextHeartbeat[id] = now.Add(simHeartbeat); !s.storeDown {
			s.alive[id] = now
			if !listed {
				s.history.write(id, &upstream.Instance{ID: id, Service: simService, State: upstream.Ready})
				listed = true
			}
		}
		if listed && now.Sub(s.alive[id]) >= simEntryTTL {
			s.history.write(id, nil)
		}
	}
}

// happens reports whether an event with a rate of perMinute happens in this step.
func (s *sim) happens(perMinute float64, step time.Duration) bool {
	return s.random.Float64() < perMinute*step.Minutes()
}

// step simulates one step: departures, interruptions, outages and reports between routers.
func (s *sim) step(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.heartbeat(now)
	if s.happens(4, step) {
		s.storeDown, s.storeChangedAt = !s.storeDown, now
	}
	if !s.storeDown && s.happens(30, step) && len(s.alive) > simUpstreams/2 {
		s.removeUpstream()
	}
	if !s.storeDown && len(s.alive) < simUpstreams && s.happens(60, step) {
		s.addUpstream()
	}
	for _, r := range s.routers {
		if lasts := time.Duration(1+s.random.IntN(8)) * time.Second; s.happens(4, step) {
			kind := s.random.IntN(3)
			if kind != 0 {
				r.cutStore = now.Add(lasts)
			}
			if kind != 1 {
				r.cutPeers = now.Add(lasts)
			}
		}
	}
	for range simReports {
		a, b := s.routers[s.random.IntN(simRouters)], s.routers[s.random.IntN(simRouters)]
		if a != b && now.After(a.cutPeers) && now.After(b.cutPeers) {
			b.receiveReport(a)
		}
	}
}

// receiveReport handles a report of another router, and fetches its list if that is newer.
func (r *simRouter) receiveReport(from *simRouter) {
	c, peer := r.catalog, from.catalog
	c.MergeContact(peer.Contact())
	asOf := time.Now().Add(-peer.InstancesAge(time.Now()))
	given, at, _ := peer.List()
	rev := c.InstancesRevision()
	switch {
	case at < rev || at == 0:
	case at == rev || peer.UnchangedSince(rev):
		c.Confirm(at, asOf)
	default:
		c.Replace(given.List(), at, asOf, "peer")
	}
}

// undisturbed reports whether neither the router nor the store was disturbed for recoveryLimit.
func (r *simRouter) undisturbed(now time.Time) bool {
	s := r.sim
	return !s.storeDown && now.Sub(s.storeChangedAt) >= recoveryLimit && now.Sub(r.cutStore) >= recoveryLimit && now.Sub(r.cutPeers) >= recoveryLimit
}

// request waits until the store responds to r, or until ctx ends.
func (r *simRouter) request(ctx context.Context, wait time.Duration, news func() bool) error {
	waiting.For(ctx, simLatency)
	for began := time.Now(); ctx.Err() == nil; waiting.For(ctx, simLatency) {
		r.sim.mu.Lock()
		reached := !r.sim.storeDown && time.Now().After(r.cutStore)
		done := news() || time.Since(began) >= wait
		r.sim.mu.Unlock()
		if !reached {
			<-ctx.Done()
		} else if done {
			return nil
		}
	}
	return ctx.Err()
}

func (r *simRouter) stamp() Stamp {
	return Stamp{Revision: r.sim.history.newest(), Clock: time.Since(fakeClockStart)}
}

// Instances implements Store.
func (r *simRouter) Instances(ctx context.Context) ([]upstream.Instance, Stamp, error) {
	if err := r.request(ctx, 0, func() bool { return true }); err != nil {
		return nil, Stamp{}, err
	}
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	return r.sim.history.list(r.sim.history.newest()), r.stamp(), nil
}

// InstancesAfter implements Store.
func (r *simRouter) InstancesAfter(ctx context.Context, after Revision, wait time.Duration) ([]upstream.Change, Stamp, error) {
	if err := r.request(ctx, wait, func() bool { return r.sim.history.newest() > after }); err != nil {
		return nil, Stamp{}, err
	}
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	return r.sim.history.changes(after, r.sim.history.newest()), r.stamp(), nil
}

// Declared and DeclaredAfter implement Store; nothing is declared.
func (r *simRouter) Declared(context.Context) (Declared, Revision, error) {
	return Declared{}, 1, nil
}

func (r *simRouter) DeclaredAfter(ctx context.Context, after Revision, wait time.Duration) (Declared, Revision, error) {
	waiting.For(ctx, wait)
	return Declared{}, after, ctx.Err()
}

// The first three routers read for all, as in a small fleet.
func (r *simRouter) ReadsInstances() bool             { return r.rank < 3 }
func (r *simRouter) ReadsConfig() bool                { return true }
func (r *simRouter) HasManyFollowers() bool           { return false }
func (r *simRouter) FallbackDelay() time.Duration     { return 0 }
func (r *simRouter) WaitsForPeers(time.Duration) bool { return false }
func (r *simRouter) StoreClients() int                { return simRouters }
