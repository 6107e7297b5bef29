package catalog

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// The tests with a fakeStore run in bubbles of testing/synctest: time.Sleep takes virtual time, which
// passes only when every goroutine waits, so results do not depend on the machine's speed.

// fakeStore responds as configured; calls take no time except for their waits.
type fakeStore struct {
	mu   sync.Mutex
	down bool
	// compacted is the revision up to which changes are no longer available.
	compacted Revision
	config    *routing.Config
	// evacuated are the zones that a read returns, zoneChanges those that a watch returns.
	evacuated   map[string]bool
	zoneChanges []ZoneChange
	instances   []upstream.Instance
	changes     []upstream.Change
	rev         Revision
	// following makes the router leave the reading to others.
	following bool
	// longPoll makes requests without changes stay open for their whole wait.
	longPoll bool
	// manyFollowers makes the router read for many others; listRequests counts requests for changed
	// instances.
	manyFollowers bool
	listRequests  int
	// storeCallers is how many routers share the store; failedCalls counts the calls that failed.
	storeCallers int
	failedCalls  int
	// configRequests counts requests for newer configurations.
	configRequests int
	// readsConfig makes a follower wait for configurations itself.
	readsConfig bool
	// configDown makes only requests for the configuration fail.
	configDown bool
	// peerWait is how long a starting router leaves the store to others.
	peerWait time.Duration
	// unresponsive makes new calls never get a response, as on a connection that died silently.
	unresponsive bool
	// answersAfter is how long reads of everything take.
	answersAfter time.Duration
	// processPause is how long the process is paused between the next response and its reading.
	processPause time.Duration
	// endWaitOnChange makes a waiting request end with the first change.
	endWaitOnChange bool
	// connectionSilentSince is when the kept connection went silent; zero while it responds.
	connectionSilentSince time.Time
}

// takeSilentConnection reports whether a request is on the connection that went silent. The next
// request has a new connection.
func (s *fakeStore) takeSilentConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := !s.connectionSilentSince.IsZero()
	s.connectionSilentSince = time.Time{}
	return silent
}

// waitForChange waits until there is a change newer than after, for at most wait.
func (s *fakeStore) waitForChange(ctx context.Context, after Revision, wait time.Duration) {
	const look = 10 * time.Millisecond
	for begun := time.Now(); time.Since(begun) < wait && ctx.Err() == nil; waiting.For(ctx, look) {
		s.mu.Lock()
		news := s.endWaitOnChange && (after < s.rev || !s.connectionSilentSince.IsZero())
		s.mu.Unlock()
		if news {
			return
		}
	}
}

func (s *fakeStore) waitIfUnresponsive(ctx context.Context) error {
	s.mu.Lock()
	mute := s.unresponsive
	s.mu.Unlock()
	if !mute {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// ReadsInstances makes the fake store implement the router's role as well.
func (s *fakeStore) ReadsInstances() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.following
}

func (s *fakeStore) ReadsConfig() bool { return s.readsConfig || s.ReadsInstances() }

func (s *fakeStore) FallbackDelay() time.Duration { return 0 }

func (s *fakeStore) WaitsForPeers(waited time.Duration) bool { return waited < s.peerWait }

func (s *fakeStore) StoreClients() int { return max(1, s.storeCallers) }

func (s *fakeStore) HasManyFollowers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manyFollowers
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// countFailedCalls returns how many calls failed since the counter was last reset.
func (s *fakeStore) countFailedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedCalls
}

var errDown = errors.New("down")

// waitAsSlow waits for as long as an answer takes.
func (s *fakeStore) waitAsSlow(ctx context.Context) error {
	s.mu.Lock()
	slow := s.answersAfter
	s.mu.Unlock()
	waiting.For(ctx, slow)
	return ctx.Err()
}

func (s *fakeStore) Declared(ctx context.Context) (Declared, Revision, error) {
	if err := s.waitAsSlow(ctx); err != nil {
		return Declared{}, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.configDown {
		s.failedCalls++
		return Declared{}, 0, errDown
	}
	var zones []ZoneChange
	for zone := range s.evacuated {
		zones = append(zones, ZoneChange{Zone: zone})
	}
	return Declared{Config: s.config, Zones: zones}, s.rev, nil
}

func (s *fakeStore) DeclaredAfter(ctx context.Context, after Revision, wait time.Duration) (Declared, Revision, error) {
	if err := s.waitIfUnresponsive(ctx); err != nil {
		return Declared{}, 0, err
	}
	waiting.For(ctx, min(wait, 100*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configDown {
		s.failedCalls++
		return Declared{}, 0, errDown
	}
	if err := s.callError(ctx, after); err != nil {
		return Declared{}, 0, err
	}
	s.configRequests++
	if after < s.rev {
		return Declared{Config: s.config, Zones: s.zoneChanges}, s.rev, nil
	}
	return Declared{}, s.rev, nil
}

func (s *fakeStore) Instances(ctx context.Context) ([]upstream.Instance, Stamp, error) {
	if err := s.waitAsSlow(ctx); err != nil {
		return nil, Stamp{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.failedCalls++
		return nil, Stamp{}, errDown
	}
	return s.instances, s.stamp(), nil
}

func (s *fakeStore) InstancesAfter(ctx context.Context, after Revision, wait time.Duration) ([]upstream.Change, Stamp, error) {
	if err := s.waitIfUnresponsive(ctx); err != nil {
		return nil, Stamp{}, err
	}
	s.mu.Lock()
	if !s.longPoll {
		wait = min(wait, 100*time.Millisecond)
	}
	s.mu.Unlock()
	if s.endWaitOnChange {
		s.waitForChange(ctx, after, wait)
	} else {
		waiting.For(ctx, wait)
	}
	if s.takeSilentConnection() {
		<-ctx.Done()
		return nil, Stamp{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.callError(ctx, after); err != nil {
		return nil, Stamp{}, err
	}
	s.listRequests++
	if s.processPause > 0 {
		stamp, pause := s.stamp(), s.processPause
		s.processPause = 0
		s.mu.Unlock()
		time.Sleep(pause) // nothing in the process runs
		s.mu.Lock()
		return nil, stamp, nil
	}
	if after < s.rev {
		return s.changes, s.stamp(), nil
	}
	return nil, s.stamp(), nil
}

func (s *fakeStore) callError(ctx context.Context, after Revision) error {
	if s.down {
		s.failedCalls++
		return errDown
	}
	if after < s.compacted {
		return ErrHistoryGone
	}
	return ctx.Err()
}

// eventCounter counts log lines by their event.
type eventCounter struct {
	mu     sync.Mutex
	events map[string]int
}

// HandleLog counts e.
func (r *eventCounter) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := e.Fields["event"].(string)
	r.events[name]++
	return nil
}

func (r *eventCounter) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[name]
}

func newTestLogger() (*log.Logger, *eventCounter) {
	h := &eventCounter{events: make(map[string]int)}
	return &log.Logger{Handler: h, Level: log.InfoLevel}, h
}

func startWatcher(t *testing.T, s *fakeStore) (*Catalog, *eventCounter) {
	l, h := newTestLogger()
	c := New(l)
	w := NewWatcher(c, s, s, l)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.WatchConfig(ctx)
	go w.WatchInstances(ctx)
	return c, h
}

// fakeClockStart is when the fake store's monotonic clock was zero.
var fakeClockStart = time.Unix(0, 0)

func (s *fakeStore) stamp() Stamp {
	return Stamp{Revision: s.rev, Clock: time.Since(fakeClockStart)}
}

// keepContact keeps routers in contact with the store for a while, without changes.
func keepContact(lasts time.Duration, routers ...*Catalog) {
	const pause = 500 * time.Millisecond
	for end := time.Now().Add(lasts); ; time.Sleep(pause) {
		for _, c := range routers {
			c.MergeContact(Contact{Since: time.Now(), Until: time.Now()})
		}
		if !time.Now().Before(end) {
			return
		}
	}
}
