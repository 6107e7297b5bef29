package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Asker sends a ConfigAsk to a peer; it doesn't wait and may drop the message.
type Asker interface {
	AskConfig(to wire.RouterID, ask wire.ConfigAsk)
}

// SyncerOptions are what a Syncer needs.
type SyncerOptions struct {
	// PeerWait is how long a peer's answer is waited for.
	PeerWait time.Duration
	// Retry is the least time between two rounds that brought nothing.
	Retry time.Duration
	// Random draws peers and jitter; seeded from the system when nil.
	Random *rand.Rand
	Log    log.Interface
}

// peerTries bounds the peers asked before the table is.
const peerTries = 2

// Syncer is the duty that fetches a newer snapshot: from a peer that has it, else
// from the table.
type Syncer struct {
	store *Store
	live  *Live
	asker Asker
	opts  SyncerOptions
}

// NewSyncer returns a Syncer; Run drives it.
func NewSyncer(store *Store, live *Live, asker Asker, opts SyncerOptions) *Syncer {
	opts.Random = randomOr(opts.Random)
	if opts.Log == nil {
		opts.Log = log.Log
	}
	return &Syncer{store: store, live: live, asker: asker, opts: opts}
}

// Run fetches whenever the router is behind, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	changed, stop := s.live.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.live.Behind():
		}
		for s.live.IsBehind() && ctx.Err() == nil {
			s.round(ctx, changed)
		}
	}
}

// round asks peers, then the table, then waits.
func (s *Syncer) round(ctx context.Context, changed <-chan struct{}) {
	for _, peer := range s.live.newerPeers(peerTries, s.opts.Random) {
		drain(changed)
		s.asker.AskConfig(peer, wire.ConfigAsk{Have: s.live.Version()})
		wait(ctx, changed, s.opts.PeerWait)
		if !s.live.IsBehind() {
			return
		}
	}
	if err := s.load(ctx); err != nil {
		s.opts.Log.WithError(err).WithField("inForce", s.live.Version()).Warn("can't fetch configuration")
	}
	// Also after a load: a peer may know a version that the table doesn't show.
	if s.live.IsBehind() {
		wait(ctx, changed, s.opts.Retry+time.Duration(s.opts.Random.Int64N(int64(s.opts.Retry)+1)))
	}
}

func (s *Syncer) load(ctx context.Context) error {
	sent := time.Now()
	snap, err := s.store.Load(ctx)
	if err != nil {
		return err
	}
	if err := s.live.Adopt(time.Now(), snap); err != nil {
		return err
	}
	s.live.Confirm(sent, snap.Version)
	return nil
}

func wait(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

func drain(changed <-chan struct{}) {
	select {
	case <-changed:
	default:
	}
}
