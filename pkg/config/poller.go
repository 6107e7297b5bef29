package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
)

// PollerOptions are what a Poller needs.
type PollerOptions struct {
	Poll          time.Duration
	ConfirmWithin time.Duration
	// ReadTimeout bounds one read; Poll when 0.
	ReadTimeout time.Duration
	// Random draws the jitter; seeded from the system when nil.
	Random *rand.Rand
	Log    log.Interface
}

// Poller is the duty that reads the head row. Most routers leave that to the first
// Pollers of them and hear of it by their peers' Pongs.
type Poller struct {
	store  *Store
	live   *Live
	ranker Ranker
	opts   PollerOptions
	plan   *pollPlan
	failed bool
}

// NewPoller returns a Poller; Run drives it.
func NewPoller(store *Store, live *Live, ranker Ranker, opts PollerOptions) *Poller {
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = opts.Poll
	}
	opts.Random = randomOr(opts.Random)
	if opts.Log == nil {
		opts.Log = log.Log
	}
	plan := newPollPlan(opts.Poll, opts.ConfirmWithin, opts.Random)
	return &Poller{store: store, live: live, ranker: ranker, opts: opts, plan: plan}
}

func randomOr(r *rand.Rand) *rand.Rand {
	if r != nil {
		return r
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// ticksPerPoll is how often the plan is looked at in each Poll.
const ticksPerPoll = 8

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(max(p.opts.Poll/ticksPerPoll, time.Millisecond))
	defer ticker.Stop()
	for {
		p.Step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step reads the head row if it is due at now, and reports whether it did.
func (p *Poller) Step(ctx context.Context, now time.Time) bool {
	chosen := p.ranker.Among(PollerKey, Pollers)
	age, ok := p.live.Confirmed(now)
	if !p.plan.due(now, age, ok, chosen) {
		return false
	}
	p.plan.sent(now, chosen)
	p.read(ctx, now)
	return true
}

// read counts everything from before the request is sent: see Live.Confirm.
func (p *Poller) read(ctx context.Context, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ReadTimeout)
	defer cancel()
	head, err := p.store.Head(ctx)
	p.live.TableRead(sent, err)
	if err == nil {
		p.live.Confirm(sent, head.Version)
	}
	if failed := err != nil; failed != p.failed {
		p.failed = failed
		p.opts.Log.WithError(err).WithField("readable", !failed).Warn("configuration table")
	}
	if err == nil && head.Version < p.live.Version() {
		p.opts.Log.WithField("table", head.Version).WithField("inForce", p.live.Version()).
			Error("the table's configuration is older than the one in force; it is not adopted")
	}
}
