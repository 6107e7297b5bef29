package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/patience"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/backoff"
)

// Timing of the watches.
const (
	// configWait is how long one request for a newer configuration stays open, just under the
	// longest wait that the store allows. Longer waits cost fewer calls; a dead connection is
	// detected by its keep-alive.
	configWait = 25 * time.Second
	// instancesWait is how long one request for changed instances stays open, responseTimeout how
	// much later its response may arrive. Together with the pauses they bound how long it takes to
	// notice that the connection went silent: by then a router's list must not be older than three
	// seconds.
	instancesWait   = 1400 * time.Millisecond
	responseTimeout = 500 * time.Millisecond
	// instancesPause is the pause between two requests: heartbeats change rows all the time, and
	// without a pause each change would cost a call. It is well under the two seconds within which
	// a leaving upstream must get no more requests.
	instancesPause = 700 * time.Millisecond
	// manyFollowersWait replaces instancesWait in routers that read for many others: these consider
	// their list outdated when nobody has confirmed it for followerMaxAge, and would all read the
	// store.
	manyFollowersWait = 250 * time.Millisecond
	// followerMaxAge is the age of the list at which a router that leaves the reading to others
	// reads the store itself. Role.FallbackDelay is added to it.
	followerMaxAge = 1400 * time.Millisecond
	// minPause is the shortest pause between two requests while a grace period ends.
	minPause = 20 * time.Millisecond
	// peerCheckPause is the pause between two checks whether peers have sent what a starting router
	// needs.
	peerCheckPause = 20 * time.Millisecond
	// readTimeout bounds the silence of a call that does not wait for changes, listTimeout that of
	// reading the whole list: while the store is silent, the next call notices its recovery.
	readTimeout = 1500 * time.Millisecond
	listTimeout = time.Second
	// maxFirstTimeout is what these grow to until a first call has succeeded, as the store may be slow.
	maxFirstTimeout = 5 * time.Second
	// minOutage is how long the store must have been silent for entries to have expired: they live
	// for three heartbeats, of a second or more each.
	minOutage = 3 * time.Second
)

// Watcher keeps a catalog up to date from a store.
type Watcher struct {
	catalog *Catalog
	store   Store
	role    Role
	log     log.Interface
	// clock dates responses to requests for instances.
	clock storeClock
	// storeDown is whether the newest request for instances failed.
	storeDown atomic.Bool
	// historyRead is whether the changes just before the first read were requested.
	historyRead bool
	// firstConfig and firstList bound the silence of reading everything until that has succeeded once.
	firstConfig, firstList *patience.Limit
	// configCall is the open request for a newer configuration.
	configCall atomic.Pointer[patience.Call]
}

// Role says what a router reads from the store for the whole fleet; it receives the rest from
// other routers.
type Role interface {
	// ReadsInstances reports whether the router reads the instance list, ReadsConfig whether it
	// waits for newer configurations.
	ReadsInstances() bool
	ReadsConfig() bool
	// HasManyFollowers reports whether many other routers rely on what this one reads.
	HasManyFollowers() bool
	// FallbackDelay returns how much later than the first routers this one reads the store when no peer
	// sends updates.
	FallbackDelay() time.Duration
	// WaitsForPeers reports whether a router that started waited ago still waits for its peers' state
	// instead of reading the store.
	WaitsForPeers(waited time.Duration) bool
	// StoreClients returns the number of routers that call the store, this one included.
	StoreClients() int
}

// NewWatcher returns a watcher that updates catalog c from s.
func NewWatcher(c *Catalog, s Store, d Role, l log.Interface) *Watcher {
	return &Watcher{catalog: c, store: s, role: d, log: l,
		firstConfig: patience.NewLimit(maxFirstTimeout), firstList: patience.NewLimit(maxFirstTimeout)}
}

// WatchConfig keeps the configuration and the evacuated zones up to date until ctx ends.
func (w *Watcher) WatchConfig(ctx context.Context) {
	dep := newDependency("store config", w.log)
	var rev Revision
	var failures backoff.Backoff
	w.waitForPeers(ctx, func() bool { return w.catalog.Version() > 0 })
	for ctx.Err() == nil {
		if w.followsConfig() {
			rev = 0 // the next request to the store reads everything
			w.waitAsFollower(ctx)
			continue
		}
		startedAt := time.Now()
		next, err := w.nextConfig(ctx, rev)
		dep.observe(err, startedAt)
		if err == nil && next > 0 {
			failures.Succeeded()
			rev = next
			continue
		}
		rev = 0
		if errors.Is(err, ErrHistoryGone) {
			continue
		}
		w.pauseAfterFailure(ctx, &failures, w.followsConfig)
	}
}

// waitForPeers waits until peers have sent what known checks for, as long as the router leaves the
// store to them.
func (w *Watcher) waitForPeers(ctx context.Context, known func() bool) {
	began := time.Now()
	for !known() && w.role.WaitsForPeers(time.Since(began)) {
		if !waiting.For(ctx, peerCheckPause) {
			return
		}
	}
}

// pauseAfterFailure pauses after a failed call. Routers that read for the fleet retry at the
// shortest pause: the others learn of the store's recovery from them. The pause ends early when
// fewer routers share the store than before, as a router that is cut off from the others receives
// nothing from them.
func (w *Watcher) pauseAfterFailure(ctx context.Context, failures *backoff.Backoff, told func() bool) {
	pause, began := failures.Failed(w.role.StoreClients()), time.Now()
	for {
		if w.role.ReadsInstances() {
			pause = backoff.InitialPause
		}
		left := min(pause, backoff.MaxPause(w.role.StoreClients())) - time.Since(began)
		if left <= 0 || told() || !waiting.For(ctx, min(left, staleCheckPause)) {
			return
		}
	}
}

// WatchInstances keeps the instance list up to date until ctx ends.
func (w *Watcher) WatchInstances(ctx context.Context) {
	dep := newDependency("store instances", w.log)
	var rev Revision
	var failures backoff.Backoff
	w.waitForPeers(ctx, func() bool { return w.catalog.InstancesRevision() > 0 })
	for ctx.Err() == nil {
		if w.followsInstances() {
			// The list from peers is newer than what this watch has read.
			rev = w.catalog.InstancesRevision()
			w.waitAsFollower(ctx)
			continue
		}
		startedAt := time.Now()
		next, err := w.nextInstances(ctx, rev)
		dep.observe(err, startedAt)
		_, pause := w.requestTiming()
		lost := err != nil && !errors.Is(err, ErrHistoryGone)
		w.storeDown.Store(lost)
		switch {
		case lost:
			w.renewConfigRequest()
			w.pauseAfterFailure(ctx, &failures, w.followsInstances)
			next, pause = 0, 0
		case err != nil:
			w.renewConfigRequest()
			next, pause = 0, 0
		default:
			failures.Succeeded()
		}
		if rev == 0 && err == nil {
			pause = 0
		}
		rev = next
		waiting.For(ctx, pause)
	}
}

// requestTiming returns how long a request for changed instances stays open, and the pause after
// it. When a grace period ends, the store is read again.
func (w *Watcher) requestTiming() (wait, pause time.Duration) {
	wait, pause = instancesWait, instancesPause
	if w.role.HasManyFollowers() {
		wait = manyFollowersWait
	}
	if end, open := w.catalog.GraceEnd(); open {
		left := max(0, time.Until(end))
		wait, pause = min(wait, left), min(pause, max(left, minPause))
	}
	return wait, pause
}

// renewConfigRequest ends the open request for a newer configuration, so that the watch sends a new
// one.
//
// A store that fell silent may never respond to requests from that time, and the request for a
// newer configuration stays open for long. The watch of the instances sends requests often and
// detects the silence first. A request whose response has begun to arrive continues.
func (w *Watcher) renewConfigRequest() {
	if call := w.configCall.Swap(nil); call != nil {
		call.Doubt()
	}
}

// Pauses between two checks whether peers still keep the list current: for a list that will soon be
// too old, and for others.
const (
	staleCheckPause = 100 * time.Millisecond
	freshCheckPause = 250 * time.Millisecond
)

// waitAsFollower pauses while peers keep the list current. Nothing is to be done until the list is
// too old, but the router's duties may change meanwhile.
func (w *Watcher) waitAsFollower(ctx context.Context) {
	now := time.Now()
	if w.maxListAge()-w.catalog.InstancesAge(now) < freshCheckPause {
		waiting.For(ctx, staleCheckPause)
		return
	}
	waiting.For(ctx, waiting.Aligned(now, freshCheckPause))
}

// followsConfig reports whether peers announce newer configurations, or the store is unavailable
// anyway. Peers announce them as long as they keep the instance list current: each report carries
// both versions. While requests for instances fail, one for the configuration would fail too.
func (w *Watcher) followsConfig() bool {
	return !w.role.ReadsConfig() && w.catalog.Version() > 0 && (w.listCurrent() || w.storeDown.Load())
}

// followsInstances reports whether the router need not read the instance list, as peers that read
// the store keep it current. If every router read the store, the cost of calls would grow with the
// fleet.
func (w *Watcher) followsInstances() bool {
	return !w.role.ReadsInstances() && w.listCurrent() && !w.graceOverdue(time.Now())
}

// graceOverdue reports whether a grace period should have ended and nobody reports what is still
// missing.
func (w *Watcher) graceOverdue(now time.Time) bool {
	end, open := w.catalog.GraceEnd()
	return open && now.Sub(end) > staleCheckPause+w.role.FallbackDelay()
}

// listCurrent reports whether the instance list is known to be current.
func (w *Watcher) listCurrent() bool {
	return w.catalog.InstancesRevision() > 0 && w.catalog.InstancesAge(time.Now()) < w.maxListAge()
}

// maxListAge is the age at which the list is no longer current.
func (w *Watcher) maxListAge() time.Duration { return followerMaxAge + w.role.FallbackDelay() }

// listTimeout bounds the silence of reading the whole list.
func (w *Watcher) listTimeout() time.Duration {
	if w.catalog.InstancesRevision() > 0 {
		return listTimeout
	}
	return w.firstList.Get(listTimeout)
}

func (w *Watcher) nextInstances(ctx context.Context, after Revision) (Revision, error) {
	if after == 0 {
		bound := w.listTimeout()
		ctx, call := patience.With(ctx, bound)
		defer call.End()
		startedAt := time.Now()
		list, stamp, err := w.store.Instances(ctx)
		w.firstList.Ended(err, bound, time.Since(startedAt))
		if err != nil {
			return 0, errors.Trace(err)
		}
		w.catalog.Replace(list, stamp.Revision, w.clock.asOf(startedAt, time.Now(), stamp.Clock), "store")
		return stamp.Revision, nil
	}
	wait, _ := w.requestTiming()
	ctx, call := patience.With(ctx, wait+responseTimeout)
	defer call.End()
	startedAt := time.Now()
	changes, stamp, err := w.store.InstancesAfter(ctx, after, wait)
	if err != nil {
		return 0, errors.Trace(err)
	}
	w.catalog.Apply(changes, after, stamp.Revision, w.clock.asOf(startedAt, time.Now(), stamp.Clock), "store")
	return stamp.Revision, nil
}
