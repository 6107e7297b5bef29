package config

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Times of an outage of the table, as shares of ConfirmWithin in fifths.
const (
	fifths = 5
	// settleFifths: the table must have been out for this long before a router serves
	// by majority. It must stay over the time after which member takes a silent peer
	// for suspect: 2 s against 1.5 s with the default settings.
	settleFifths = 2
	// freshFifths: the latest failed read must be younger than this. With the time a
	// silent peer counts as reachable it makes up ConfirmWithin, so that serving by
	// majority is never staler than serving by confirmation.
	freshFifths = 3
)

// LiveOptions are what Live needs.
type LiveOptions struct {
	// ConfirmWithin is how long a version counts as current after it was confirmed.
	ConfirmWithin time.Duration
	// Started is when this router started; confirmations from before it don't count.
	Started time.Time
	// Reach is asked during an outage of the table; without it no outage is survived.
	Reach Reach
}

// Live is the configuration in force in this router. Reading it takes no lock.
type Live struct {
	opts LiveOptions
	cur  atomic.Pointer[InForce]

	mu     sync.Mutex
	conf   confirmation
	outage outage
	heard  heard
	subs   map[chan struct{}]struct{}
	behind chan struct{}
}

// InForce is an adopted snapshot. A request keeps the one it started with.
type InForce struct {
	Snapshot *resource.Snapshot
	Index    *resource.Index
	// Since is when this router adopted it.
	Since time.Time
}

// NewLive returns a Live that holds nothing yet.
func NewLive(opts LiveOptions) *Live {
	return &Live{opts: opts, subs: make(map[chan struct{}]struct{}), behind: make(chan struct{}, 1)}
}

// Current returns what is in force, or nil before the first adoption.
func (l *Live) Current() *InForce { return l.cur.Load() }

// Snapshot returns the snapshot in force, or nil.
func (l *Live) Snapshot() *resource.Snapshot {
	if c := l.cur.Load(); c != nil {
		return c.Snapshot
	}
	return nil
}

// Index returns the index of the snapshot in force, or nil.
func (l *Live) Index() *resource.Index {
	if c := l.cur.Load(); c != nil {
		return c.Index
	}
	return nil
}

// Version returns the version in force; 0 before the first adoption.
func (l *Live) Version() uint64 {
	if c := l.cur.Load(); c != nil {
		return c.Snapshot.Version
	}
	return 0
}

// Adopt puts s in force when it is newer. The whole snapshot is validated before it
// takes effect; the one in force stays when s is faulty (*resource.Invalid) or older
// (ErrOlder). Adopting the version in force again changes nothing.
func (l *Live) Adopt(now time.Time, s *resource.Snapshot) error {
	if err := s.Validate(); err != nil {
		return errors.Annotatef(err, "snapshot %d", s.Version)
	}
	next := &InForce{Snapshot: s, Index: resource.NewIndex(s), Since: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Snapshots arrive from the table and from peers, late and out of order. Without
	// this check an old one would undo an accepted change; the lock makes look and
	// swap one step.
	if have := l.cur.Load(); have != nil && s.Version <= have.Snapshot.Version {
		if s.Version < have.Snapshot.Version {
			return errors.Annotatef(ErrOlder, "offered %d, in force %d", s.Version, have.Snapshot.Version)
		}
		return nil
	}
	l.cur.Store(next)
	for sub := range l.subs {
		wake(sub)
	}
	return nil
}

// Subscribe returns a channel that gets a value after changes; changes that come
// faster than they are taken are one value. stop ends the subscription.
func (l *Live) Subscribe() (changed <-chan struct{}, stop func()) {
	sub := make(chan struct{}, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subs[sub] = struct{}{}
	return sub, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.subs, sub)
	}
}

// Behind gets a value when a newer version than the one in force is known.
func (l *Live) Behind() <-chan struct{} { return l.behind }

// Newest returns the highest version heard of from anyone.
func (l *Live) Newest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest()
}

func (l *Live) newest() uint64 { return max(l.heard.highest, l.conf.version) }

// PeerVersion notes the version in force at a peer.
func (l *Live) PeerVersion(from wire.RouterID, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard.note(from, version)
	l.wakeIfBehind()
}

// wakeIfBehind tells the Syncer.
func (l *Live) wakeIfBehind() {
	if c := l.cur.Load(); c == nil || l.newest() > c.Snapshot.Version {
		wake(l.behind)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// IsBehind says whether nothing is in force yet, or a newer version is known.
func (l *Live) IsBehind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cur.Load()
	return c == nil || l.newest() > c.Snapshot.Version
}

// newerPeers draws up to most peers that told a newer version.
func (l *Live) newerPeers(most int, random *rand.Rand) []wire.RouterID {
	have := l.Version()
	l.mu.Lock()
	defer l.mu.Unlock()
	var peers []wire.RouterID
	for id, version := range l.heard.versions {
		if version > have {
			peers = append(peers, id)
		}
	}
	slices.Sort(peers)
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(most, len(peers))]
}
