package affinity

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// simSeeds is the number of seeds that are played; more are played by hand.
var (
	simSeeds   = flag.Int("simseeds", 8, "number of simulated days")
	simRouters = flag.Int("simrouters", 6, "number of routers of a simulated fleet")
)

// Times of the simulated fleet, as the product has them.
const (
	simStep     = 20 * time.Millisecond
	simExchange = 80 * time.Millisecond
	simAlive    = 1200 * time.Millisecond
	simForget   = 60 * time.Second
	simLength   = 60 * time.Second
	simRelease  = 25 * time.Second
	simCut      = 25 * time.Second
	// simDrain is how long engines that were replaced stay on the list and serve.
	simDrain     = 2500 * time.Millisecond
	simMaxResume = 12 * time.Second
	// simRaised is the timeout of streams once it is raised, simConfig the longest time until a router that starts has its
	// configuration.
	simRaised = 40 * time.Second
	simConfig = 3 * time.Second
)

// simStream is a stream that a caller has begun to receive.
type simStream struct {
	id, version string
	due         time.Time
	tries       int
}

// sim is a fleet on virtual time: releases and rollbacks, kills, cuts and outages of the store at
// random, and callers that resume streams.
type sim struct {
	random  *rand.Rand
	now     time.Time
	routers []*simRouter
	flying  []message
	// versions are the engines' versions at revision rev of the store.
	versions  []string
	rev       int64
	storeDown time.Time
	store     simStore
	// leaving are engines that were replaced and are still listed.
	leaving []leavingEngine
	streams []simStream
	next    int
	// resumed counts the tries that resumed a stream while its version was listed, wentOn those of
	// them that found it.
	resumed, wentOn int
	mixed           []string
	// single days have one release at releaseAt, taken back at rollbackAt.
	single bool
	// limit is the timeout of streams that begin, raisedAt when it is raised; zero for never.
	limit    time.Duration
	raisedAt time.Time
	// configs draws when routers get their configuration, and when the store's clock is set.
	configs *rand.Rand
	// silent days are those on which no records are sent, so that all depends on sole versions.
	silent bool
	// unkept days are those on which no records are kept in the store.
	unkept                bool
	releaseAt, rollbackAt time.Time
}

func newSim(seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), rev: 1, versions: []string{"v0", "v0", "v0", "v0"}, limit: simMaxResume, configs: rand.New(rand.NewPCG(seed, 2))}
	s.single, s.silent, s.releaseAt = seed%2 == 0, seed%4 == 0, s.upTo(simLength)
	s.rollbackAt = s.releaseAt.Add(time.Duration(s.random.Int64N(int64(simRelease))))
	if seed%3 == 0 {
		s.raisedAt = s.now.Add(time.Duration(s.configs.Int64N(int64(simLength / 2))))
	}
	for i := range *simRouters {
		s.routers = append(s.routers, &simRouter{sim: s, index: i})
		s.start(s.routers[i])
	}
	s.store.era, s.store.batches = 1, make(map[string][]byte)
	s.routers[0].MarkFounded()
	return s
}

func (s *sim) start(r *simRouter) {
	*r = simRouter{sim: s, index: r.index, started: s.now, up: true, heard: make([]heardReport, *simRouters)}
	r.configuredAt = s.now.Add(time.Duration(s.configs.Int64N(int64(simConfig))))
	r.Tracker = NewTracker(r, func(_ context.Context, q Question) Reply { return s.ask(r, q) }, s.now, &log.Logger{Handler: discard.New()})
	r.RequireRegister()
	r.RequireRecords()
	if !s.now.Before(s.storeDown) {
		rd, row := s.readRegister()
		r.early = &simEarlyRead{rd: rd, row: row}
	}
	r.keeper = newSimKeeper(r.index, s.now)
}

// ask asks all other routers that can be reached.
func (s *sim) ask(from *simRouter, q Question) Reply {
	var best Reply
	for _, r := range s.routers {
		if r == from || !s.connected(from, r) {
			continue
		}
		if reply := r.Reply(q, s.now); reply.Recorded || best.Version == unknownVersion {
			best = reply
			if reply.Recorded {
				break
			}
		}
	}
	return best
}

func (s *sim) connected(a, b *simRouter) bool {
	return a.runs() && b.runs() && !s.now.Before(a.cutUntil) && !s.now.Before(b.cutUntil)
}

func (s *sim) chance(perSecond float64) bool { return s.random.Float64() < perSecond*simStep.Seconds() }

func (s *sim) upTo(d time.Duration) time.Time {
	return s.now.Add(time.Duration(s.random.Int64N(int64(d))))
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	if !s.raisedAt.IsZero() && s.now.After(s.raisedAt) {
		s.limit = simRaised
	}
	s.disturb()
	s.disturbStore()
	for _, r := range s.routers {
		if r.runs() {
			s.readList(r)
			s.register(r)
			s.keepRecords(r)
			s.report(r)
		}
	}
	if s.random.IntN(2) == 0 { // what waited for a router that stood still comes in any order
		s.deliver()
		s.begin()
		s.resume()
		return
	}
	s.resume()
	s.deliver()
	s.begin()
}

// disturb changes the engines' versions and harms routers and store.
func (s *sim) disturb() {
	if s.chance(4) { // an engine is replaced by one of the version that is released
		if i, released := s.random.IntN(len(s.versions)), s.released(); s.versions[i] != released {
			s.leaving = append(s.leaving, leavingEngine{version: s.versions[i], until: s.now.Add(simDrain)})
			s.versions[i] = released
			s.rev++
		}
	}
	if len(s.leaving) > 0 && s.now.After(s.leaving[0].until) {
		s.leaving = s.leaving[1:]
		s.rev++
	}
	if s.chance(0.1) {
		s.storeDown = s.upTo(12 * time.Second)
	}
	if s.chance(0.15) {
		share := []int{1, len(s.routers) / 2, len(s.routers)}[s.random.IntN(3)]
		for n := range share {
			s.routers[(s.next+n)%len(s.routers)].up = false
		}
	}
	for _, r := range s.routers {
		switch {
		case !r.up && s.chance(1):
			s.start(r)
		case s.chance(0.02):
			r.cutUntil = s.upTo(simCut)
		case s.chance(0.03):
			r.blindUntil = s.upTo(10 * time.Second)
		case s.chance(0.02):
			r.stillUntil = s.upTo(simStill)
		}
	}
	s.flash()
}

// released is the version that is released: on every other day one release and a rollback, with long
// times of one version, else one release after the other.
func (s *sim) released() string {
	if !s.single {
		return fmt.Sprintf("v%d", int(s.now.Unix()/9)%3)
	}
	if s.now.After(s.releaseAt) && s.now.Before(s.rollbackAt) {
		return "v1"
	}
	return "v0"
}

// readList gives a router the list of upstreams now and then; one of two looks takes it from a peer,
// whose own may be old.
func (s *sim) readList(r *simRouter) {
	if s.now.Before(r.nextList) || s.now.Before(r.cutUntil) {
		return
	}
	r.nextList = s.upTo(1500 * time.Millisecond)
	if s.random.IntN(2) == 0 {
		if p := s.routers[s.random.IntN(len(s.routers))]; p != r && s.connected(r, p) && p.rev >= r.rev && p.listedAt.After(r.listedAt) {
			s.setList(r, p.set, p.rev, p.listedAt)
		}
		return
	}
	if !s.now.Before(s.storeDown) && !s.now.Before(r.blindUntil) {
		s.setList(r, s.list(), s.rev, s.now)
	}
}

// begin lets callers begin streams at engines that their router lists and takes for open.
func (s *sim) begin() {
	for _, r := range s.routers {
		if !r.runs() || len(r.set) == 0 || !r.configured() {
			continue
		}
		in := &upstream.Instance{Service: "s", Software: r.set[s.random.IntN(len(r.set))]}
		if !r.Open(in, s.now) {
			continue
		}
		s.next++
		id := fmt.Sprint(s.next)
		r.Begin("o", id, in, s.now)
		s.streams = append(s.streams, simStream{id: id, version: in.Software, due: s.upTo(s.limit / 2)})
	}
}

// resume lets callers resume their streams at any router, up to three times.
func (s *sim) resume() {
	var left []simStream
	for _, one := range s.streams {
		r := s.routers[s.random.IntN(len(s.routers))]
		switch {
		case one.due.After(s.now), r.up && !r.runs(), r.up && !r.configured():
			left = append(left, one)
		case r.up && s.goOn(r, one) && one.tries < 2:
			one.tries++
			one.due = s.upTo(s.limit / 4)
			left = append(left, one)
		}
	}
	s.streams = left
}

func (s *sim) goOn(r *simRouter, one simStream) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // simulated time doesn't pass while a lookup waits
	b, ok := r.Find(ctx, Query{Organisation: "o", FirstAttempt: one.id, Services: []string{"s"}, Service: "s"}, s.now)
	if r.listed(one.version) {
		s.resumed++
		if ok {
			s.wentOn++
		}
	}
	if !ok || !r.listed(b.Version) {
		return false
	}
	if b.Version != one.version {
		s.mixed = append(s.mixed, fmt.Sprintf("%s began at %s and went on at %s by %s after %v", one.id, one.version, b.Version, b.Source, s.now.Sub(time.Unix(1000, 0))))
	}
	r.Begin("o", one.id, &upstream.Instance{Service: "s", Software: b.Version}, s.now)
	return true
}
