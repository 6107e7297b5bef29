package fleet

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/backoff"
)

// Intervals, timeouts and limits of joining.
const (
	// secretSize is the size of the fleet's secret in bytes.
	secretSize = 32
	// registryTimeout bounds one call to the registry at first, maxRegistryTimeout one to a registry that is slow.
	registryTimeout    = 1500 * time.Millisecond
	maxRegistryTimeout = 5 * time.Second
	// firstTimeout bounds the first call for the secret. A healthy store answers within
	// milliseconds; after that peers are asked, and callers wait meanwhile.
	firstTimeout = 300 * time.Millisecond
	// listWait is how long other tasks wait for the list of routers, as this router's rank
	// follows from it.
	listWait = 100 * time.Millisecond
	// listInterval is the time between two reads of the list for each listIntervalSize routers:
	// peers name each other, so reading the list only finds parts of the fleet that do not know
	// of each other, and one router that reads it is enough.
	listInterval     = 15 * time.Second
	listIntervalSize = 8
	// aloneInterval is that time while no other router is alive.
	aloneInterval = time.Second
	// targetRegistered is the number of routers on the list in a large fleet.
	targetRegistered = 32
	// strongPower is the CPU in cores from which on a host registers among the first;
	// maxStrongDelay and maxStartDelay bound the start delays of such hosts and of all others.
	strongPower    = 0.5
	maxStrongDelay = 250 * time.Millisecond
	maxStartDelay  = time.Second
	// removeAfter is how long a router must have been lost to be removed from the list,
	// maxRemoved the number that one call removes.
	removeAfter = 2 * time.Minute
	maxRemoved  = 50
	// restorers is the number of routers that at once write what a copy of the store lacks; the others find it at
	// their next read of the list.
	restorers = 3
	// foundingDelay is how long a router that finds a restored store without a secret waits for a running fleet to
	// write its own: each of its routers looks at the era once every aloneInterval.
	foundingDelay = 3 * time.Second
)

// errAwaitsSecret says that a fleet may be running whose secret the store has lost.
const errAwaitsSecret = errors.ConstError("the store was restored from a copy without the secret, waiting for the fleet to write it")

// Joiner finds the other routers through the registry.
type Joiner struct {
	fleet     *Fleet
	exchanger *Exchanger
	registry  Registry
	// seeds are addresses of routers that may be alive.
	seeds []string
	// firstStart says that the whole fleet starts for the first time.
	firstStart bool
	log        log.Interface
	// askedAt is when the registry was first asked; nil before.
	askedAt atomic.Pointer[time.Time]
	// listRead is whether the list has been read.
	listRead atomic.Bool
	// listed is whether this router is on the list.
	listed bool
	// list holds the routers on the list as last read.
	list []Member
	// era is that of the store when the list was last read.
	era int64
	// limit bounds the calls to the registry.
	limit *patience.Limit
	// missing tracks routers on the list that are not alive.
	missing missingRouters
}

// NewJoiner returns a joiner for e's fleet.
func NewJoiner(e *Exchanger, r Registry, seeds []string, firstStart bool, l log.Interface) *Joiner {
	return &Joiner{fleet: e.fleet, exchanger: e, registry: r, seeds: seeds, firstStart: firstStart, log: l, limit: patience.NewLimit(maxRegistryTimeout), missing: make(missingRouters)}
}

// Settled reports whether the list has been read, or the store has had listWait to answer.
func (j *Joiner) Settled() bool {
	asked := j.askedAt.Load()
	return j.listRead.Load() || asked != nil && time.Since(*asked) >= listWait
}

// Run joins the fleet and keeps reading the list until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	if j.firstStart {
		waiting.For(ctx, j.startDelay())
	}
	start := time.Now()
	j.askedAt.Store(&start)
	if err := patience.NewLimit(firstTimeout).Do(ctx, firstTimeout, j.join); err != nil {
		j.log.WithError(err).WithFields(log.Fields{"event": "join_waits", "step": "secret"}).Warn("waiting for the store to join the fleet")
		j.retry(ctx, "secret", j.join)
	}
	if !j.listRead.Load() {
		j.retry(ctx, "members", j.readList)
	}
	j.register(ctx, len(j.list))
	lastRead := time.Now()
	if waiting.For(ctx, presumeAliveFor+aliveTimeout) {
		j.register(ctx, j.fleet.countAlive(j.list))
	}
	for waiting.For(ctx, aloneInterval) {
		if !j.noticesRestore() && j.fleet.Count() > 1 && time.Since(lastRead) < listInterval*time.Duration(1+j.fleet.Count()/listIntervalSize) {
			continue
		}
		lastRead = time.Now()
		if err := j.callRegistry(ctx, j.readList); err != nil {
			j.log.WithError(err).WithField("event", "members_unread").Debug("can't read the list of routers")
			continue
		}
		j.register(ctx, j.fleet.countAlive(j.list))
		j.removeLost(ctx, lastRead)
	}
}

// startDelay is how long this router waits at the fleet's first start: seeds come first, then
// strong hosts.
//
// All routers start at once and find an empty list. Without the delay all of them would register,
// and the store would be busy for seconds with their transactions, which it applies one at a
// time.
func (j *Joiner) startDelay() time.Duration {
	switch {
	case slices.Contains(j.seeds, j.fleet.self.Peers):
		return 0
	case j.fleet.self.Power >= strongPower:
		return time.Duration(rand.Float64() * float64(maxStrongDelay))
	}
	return maxStrongDelay + time.Duration(rand.Float64()*float64(maxStartDelay-maxStrongDelay))
}

// register puts this router on the list if fewer than targetRegistered known routers are on it.
//
// New routers need to find only some routers, which name the others. So the store's rows and
// calls do not grow with the fleet.
func (j *Joiner) register(ctx context.Context, known int) {
	if j.listed || known >= targetRegistered {
		return
	}
	j.retry(ctx, "register", func(ctx context.Context) error { return j.registry.Register(ctx, j.fleet.self) })
	j.listed = true
}

// retry repeats step with backoff retry it succeeds.
func (j *Joiner) retry(ctx context.Context, name string, step func(context.Context) error) {
	var failures backoff.Backoff
	for tries := 1; ctx.Err() == nil; tries++ {
		err := j.callRegistry(ctx, step)
		if err == nil {
			j.log.WithFields(log.Fields{"event": "join", "step": name, "tries": tries}).Info("join step done")
			return
		}
		if tries == 1 {
			j.log.WithError(err).WithFields(log.Fields{"event": "join_waits", "step": name}).Warn("waiting for the store to join the fleet")
		}
		waiting.For(ctx, failures.Failed(j.fleet.Count()))
	}
}

func (j *Joiner) callRegistry(ctx context.Context, step func(context.Context) error) error {
	return j.limit.Do(ctx, registryTimeout, step)
}

// join obtains the secret and the list of routers.
func (j *Joiner) join(ctx context.Context) error {
	secret, list, err := j.registry.Read(ctx)
	if err != nil {
		if secret = j.secretFromSeeds(); secret == nil {
			return errors.Trace(err)
		}
		j.fleet.SetSecret(secret)
		return nil
	}
	if secret == nil {
		if secret, err = j.findOrCreateSecret(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	j.fleet.SetSecret(secret)
	j.addList(list)
	return nil
}

// createSecret proposes a secret for a fleet that has none, and returns the one that the fleet
// then has.
func (j *Joiner) createSecret(ctx context.Context) ([]byte, error) {
	proposal := make([]byte, secretSize)
	if _, err := crand.Read(proposal); err != nil {
		return nil, errors.Trace(err)
	}
	secret, err := j.registry.Secret(ctx, proposal)
	if err == nil && bytes.Equal(secret, proposal) && j.registry.Era() <= 1 {
		// A restored store may have had a fleet before, whose streams are unknown here.
		j.fleet.local.Founded()
	}
	return secret, errors.Trace(err)
}

// addList adds the routers on the list to the fleet.
func (j *Joiner) addList(list []Member) {
	j.list = list
	j.listed = slices.ContainsFunc(list, func(m Member) bool {
		return m.Peers == j.fleet.self.Peers && m.Name == j.fleet.self.Name && m.Callers == j.fleet.self.Callers
	})
	j.fleet.AddMembers(list)
	j.listRead.Store(true)
}

// secretFromSeeds asks all seeds for the secret in parallel, as most may be gone; nil when none
// returns it.
func (j *Joiner) secretFromSeeds() []byte {
	ctx, cancel := context.WithTimeout(context.Background(), registryTimeout)
	defer cancel()
	answers := make(chan []byte, len(j.seeds))
	asked := 0
	for _, addr := range j.seeds {
		if addr != j.fleet.self.Peers {
			asked++
			go func() { answers <- j.secretFromSeed(ctx, addr) }()
		}
	}
	for range asked {
		if secret := <-answers; secret != nil {
			return secret
		}
	}
	return nil
}

// secretFromSeed asks one seed for the secret.
func (j *Joiner) secretFromSeed(ctx context.Context, addr string) []byte {
	secret, err := j.exchanger.FetchSecret(ctx, addr)
	if err != nil {
		j.log.WithError(err).WithFields(log.Fields{"event": "seed_gives_nothing", "addr": addr}).Info("seed did not return the secret")
		return nil
	}
	return secret
}

func (j *Joiner) readList(ctx context.Context) error {
	era := j.registry.Era()
	secret, list, err := j.registry.Read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if err := j.restoreSecret(ctx, secret); err != nil {
		return errors.Trace(err)
	}
	j.era = era // if it has grown meanwhile, the list is read again
	j.addList(list)
	return nil
}

// removeLost removes long-lost routers from the list, if this router has rank 0. Routers that
// shut down are not removed at once: most start again at the same address.
func (j *Joiner) removeLost(ctx context.Context, now time.Time) {
	gone := j.missing.missingSince(j.list, j.fleet.isAlive, now.Add(-removeAfter), now)
	if len(gone) == 0 || j.fleet.Rank() > 0 {
		return
	}
	gone = gone[:min(len(gone), maxRemoved)]
	if err := j.callRegistry(ctx, func(ctx context.Context) error { return j.registry.Remove(ctx, gone) }); err != nil {
		j.log.WithError(err).WithField("event", "still_listed").Info("can't remove lost routers from the list")
		return
	}
	j.log.WithFields(log.Fields{"event": "list_swept", "routers": len(gone)}).Info("removed lost routers from the list")
}
