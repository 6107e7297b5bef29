package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	tick          = 500 * time.Millisecond
	pollEvery     = time.Second
	confirmWithin = 5 * time.Second
	suspectAfter  = 1500 * time.Millisecond
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var quiet = &log.Logger{Handler: discard.New()}

// world is a fleet in virtual time over one fake table.
type world struct {
	table   *platformtest.Table
	now     time.Time
	routers []*router
	random  *rand.Rand
	// healthy fleets know their members: the first routers poll.
	healthy bool
	// accepted[v-1] is when version v was accepted.
	accepted []time.Time
}

// router is one router; its member view changes only while it runs.
type router struct {
	world    *world
	index    int
	store    *config.Store
	live     *config.Live
	exchange *config.Exchange
	poller   *config.Poller
	side     int // of a partition
	cut      bool
	paused   bool
	answered map[int]time.Time // when the last answered ping was sent
	alive    int
	// held is since when this life holds each version, highest seen at a check.
	lastSeen uint64
	gained   map[uint64]time.Time
}

func newWorld(n int, seed uint64) *world {
	w := &world{table: new(platformtest.Table), now: start, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		r := &router{world: w, index: i}
		w.routers = append(w.routers, r)
		r.restart()
	}
	return w
}

// restart begins a life without state.
func (r *router) restart() {
	r.store = config.NewStore(routerTable{r.world.table, r}, config.StoreOptions{Now: func() time.Time { return r.world.now }})
	r.live = config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin, Reach: config.ReachFunc(r.reach)})
	r.exchange = config.NewExchange(r.store, r.live)
	r.poller = config.NewPoller(r.store, r.live, r, config.PollerOptions{
		Poll: pollEvery, ConfirmWithin: confirmWithin, Random: r.world.random, Log: quiet,
	})
	r.answered, r.gained = make(map[int]time.Time), make(map[uint64]time.Time)
	r.alive, r.lastSeen = 1, 0
}

func (r *router) reach() (alive, known int) { return r.alive, len(r.world.routers) }

// Among makes the first routers that look alive from here the pollers.
func (r *router) Among(_ string, n int) bool {
	if r.world.healthy {
		return r.index < n
	}
	rank := 0
	for i := range r.index {
		if r.world.now.Sub(r.answered[i]) <= suspectAfter {
			rank++
		}
	}
	return rank < n
}

// run is one tick of an unpaused router: read the head row if due, fetch, ping.
func (r *router) run() {
	r.poller.Step(context.Background(), r.world.now)
	if r.live.IsBehind() {
		if snap, err := r.store.Load(context.Background()); err == nil {
			_ = r.live.Adopt(r.world.now, snap)
			r.live.Confirm(r.world.now, snap.Version)
		}
	}
}

func (r *router) ping(peer *router) {
	if peer.paused || r.side != peer.side {
		return
	}
	now := r.world.now
	r.answered[peer.index] = now
	r.live.PeerVersion(peer.id(), peer.live.Version())
	if age, ok := peer.live.Confirmed(now); ok {
		r.live.Confirm(now.Add(-age), peer.live.Version())
	}
	if data, ok := peer.exchange.Ask(wire.ConfigAsk{Have: r.live.Version()}); ok {
		_ = r.exchange.Data(now, data)
	}
}

func (r *router) id() wire.RouterID { return wire.RouterID(fmt.Sprintf("router-%03d", r.index)) }

func (r *router) countAlive() {
	r.alive = 1
	for _, sent := range r.answered {
		if r.world.now.Sub(sent) <= suspectAfter {
			r.alive++
		}
	}
}

// step moves time by a tick; peers bounds the pings of each router.
func (w *world) step(peers int) {
	w.now = w.now.Add(tick)
	for _, r := range w.routers {
		if r.paused {
			continue
		}
		r.run()
		for _, i := range w.random.Perm(len(w.routers))[:min(peers, len(w.routers))] {
			if i != r.index {
				r.ping(w.routers[i])
			}
		}
		r.countAlive()
	}
}
