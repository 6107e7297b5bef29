package fleet

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/backoff"
)

// Times of joining.
const (
	// secretSize is the size of the fleet's secret, in bytes.
	secretSize = 32
	// joinTimeout bounds one call to the registry.
	joinTimeout = 1500 * time.Millisecond
	// firstTimeout bounds the first question for the secret. A store that answers at all
	// answers within milliseconds; peers are asked next, and callers wait meanwhile.
	firstTimeout = 300 * time.Millisecond
	// membersEvery is the pause between two looks at the list of members for each membersSize
	// routers: peers name each other, so it only finds parts of the fleet that don't know of
	// each other, and one router that looks is enough.
	membersEvery = 15 * time.Second
	membersSize  = 8
	// lonelyEvery is that pause while nobody is heard of.
	lonelyEvery = time.Second
	// leaveTimeout bounds the call that takes this router off the list.
	leaveTimeout = 500 * time.Millisecond
)

// Joiner finds the fleet through the registry.
type Joiner struct {
	fleet    *Fleet
	duty     *Duty
	registry Registry
	// seeds are addresses of routers that may be alive.
	seeds []string
	log   log.Interface
}

// NewJoiner returns the joiner of d's fleet.
func NewJoiner(d *Duty, r Registry, seeds []string, l log.Interface) *Joiner {
	return &Joiner{fleet: d.fleet, duty: d, registry: r, seeds: seeds, log: l}
}

// Run joins and keeps looking for members until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	if err := j.within(ctx, firstTimeout, j.secret); err != nil {
		j.log.WithError(err).WithFields(log.Fields{"event": "join_waits", "step": "secret"}).Warn("joining waits for the store")
		j.until(ctx, "secret", j.secret)
	}
	j.until(ctx, "register", func(ctx context.Context) error { return j.registry.Register(ctx, j.fleet.self) })
	j.until(ctx, "members", j.look)
	last := time.Now()
	for waiting.For(ctx, lonelyEvery) {
		if j.fleet.Count() > 1 && time.Since(last) < membersEvery*time.Duration(1+j.fleet.Count()/membersSize) {
			continue
		}
		last = time.Now()
		if err := j.call(ctx, j.look); err != nil {
			j.log.WithError(err).WithField("event", "members_unread").Debug("list of routers can't be read")
		}
	}
}

// until repeats step until it is done.
func (j *Joiner) until(ctx context.Context, name string, step func(context.Context) error) {
	var failures backoff.Backoff
	for tries := 1; ctx.Err() == nil; tries++ {
		err := j.call(ctx, step)
		if err == nil {
			j.log.WithFields(log.Fields{"event": "join", "step": name, "tries": tries}).Info("step of joining is done")
			return
		}
		if tries == 1 {
			j.log.WithError(err).WithFields(log.Fields{"event": "join_waits", "step": name}).Warn("joining waits for the store")
		}
		waiting.For(ctx, failures.Failed(j.fleet.Count()))
	}
}

func (j *Joiner) call(ctx context.Context, step func(context.Context) error) error {
	return j.within(ctx, joinTimeout, step)
}

func (j *Joiner) within(ctx context.Context, limit time.Duration, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return step(ctx)
}

func (j *Joiner) secret(ctx context.Context) error {
	proposal := make([]byte, secretSize)
	if _, err := rand.Read(proposal); err != nil {
		return errors.Trace(err)
	}
	secret, err := j.registry.Secret(ctx, proposal)
	if err != nil {
		secret = j.fromPeers()
	}
	if secret == nil {
		return errors.Trace(err)
	}
	j.fleet.SetSecret(secret)
	return nil
}

// fromPeers asks the seeds for the secret; nil when none gives it.
func (j *Joiner) fromPeers() []byte {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	for _, addr := range j.seeds {
		if addr == j.fleet.self.Peers {
			continue
		}
		secret, err := j.duty.Secret(ctx, addr)
		if err == nil {
			return secret
		}
		j.log.WithError(err).WithFields(log.Fields{"event": "seed_gives_nothing", "addr": addr}).Info("seed gives no secret")
	}
	return nil
}

func (j *Joiner) look(ctx context.Context) error {
	list, err := j.registry.Members(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	j.fleet.Meet(list)
	return nil
}

// Leave takes this router off the list, as well as it can.
func (j *Joiner) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := j.registry.Remove(ctx, j.fleet.self); err != nil {
		j.log.WithError(err).WithField("event", "still_listed").Info("router stays on the list")
	}
}
