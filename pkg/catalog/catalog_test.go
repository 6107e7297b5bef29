package catalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// fakeStore answers as it is told; all calls take no time but the waits.
type fakeStore struct {
	mu   sync.Mutex
	down bool
	// forgotten is the revision up to which changes can't be told.
	forgotten Revision
	config    *routing.Config
	instances []upstream.Instance
	changes   []upstream.Change
	rev       Revision
	// follower makes the router leave the reading to others; asked counts its questions.
	follower bool
	// patient makes questions without news wait as long as they may.
	patient bool
	// many makes it read for many.
	many  bool
	asked int
	// askedConfig counts questions for newer configurations.
	askedConfig int
	// mute leaves calls that come without an answer for good, as a connection that died in
	// silence does.
	mute bool
}

func (s *fakeStore) answers(ctx context.Context) error {
	s.mu.Lock()
	mute := s.mute
	s.mu.Unlock()
	if !mute {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// ReadsInstances makes the store double as the router's duties.
func (s *fakeStore) ReadsInstances() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.follower
}

func (s *fakeStore) ReadsConfig() bool { return s.ReadsInstances() }

func (s *fakeStore) AsksFirst() bool { return true }

func (s *fakeStore) TellsMany() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.many
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

var errDown = errors.New("down")

func (s *fakeStore) Config(context.Context) (*routing.Config, Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	return s.config, s.rev, nil
}

func (s *fakeStore) ConfigAfter(ctx context.Context, after Revision, wait time.Duration) (*routing.Config, Revision, error) {
	if err := s.answers(ctx); err != nil {
		return nil, 0, err
	}
	waiting.For(ctx, min(wait, 100*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refusal(ctx, after); err != nil {
		return nil, 0, err
	}
	s.askedConfig++
	if after < s.rev {
		return s.config, s.rev, nil
	}
	return nil, s.rev, nil
}

func (s *fakeStore) Instances(context.Context) ([]upstream.Instance, Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	return s.instances, s.rev, nil
}

func (s *fakeStore) InstancesAfter(ctx context.Context, after Revision, wait time.Duration) ([]upstream.Change, Revision, error) {
	if err := s.answers(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	if !s.patient {
		wait = min(wait, 100*time.Millisecond)
	}
	s.mu.Unlock()
	waiting.For(ctx, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refusal(ctx, after); err != nil {
		return nil, 0, err
	}
	s.asked++
	if after < s.rev {
		return s.changes, s.rev, nil
	}
	return nil, s.rev, nil
}

func (s *fakeStore) refusal(ctx context.Context, after Revision) error {
	if s.down {
		return errDown
	}
	if after < s.forgotten {
		return ErrHistoryGone
	}
	return ctx.Err()
}

// recorder counts log lines by their event.
type recorder struct {
	mu     sync.Mutex
	events map[string]int
}

// HandleLog counts e.
func (r *recorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := e.Fields["event"].(string)
	r.events[name]++
	return nil
}

func (r *recorder) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[name]
}

func quiet() (*log.Logger, *recorder) {
	h := &recorder{events: make(map[string]int)}
	return &log.Logger{Handler: h, Level: log.InfoLevel}, h
}

func start(t *testing.T, s *fakeStore) (*Catalog, *recorder) {
	l, h := quiet()
	c := New(l)
	w := NewWatcher(c, s, s, l)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.WatchConfig(ctx)
	go w.WatchInstances(ctx)
	return c, h
}

// The store goes away for a minute. Requests are served on from the last copy, and what
// changed meanwhile is there soon after its return.
func TestCatalogOutlivesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5}
		c, h := start(t, s)
		time.Sleep(time.Second)
		require.True(t, c.Complete())
		s.set(func() { s.down = true })
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, c.Version())
		require.NotNil(t, c.Instances().Get("a"))
		require.Greater(t, c.InstancesAge(time.Now()), 50*time.Second)
		require.Equal(t, 2, h.count("dependency_lost"), "each watch says so once")
		s.set(func() { s.down, s.config, s.rev = false, &routing.Config{Version: 4}, 9 })
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 4, c.Version())
		require.Equal(t, 2, h.count("dependency_regained"))
	})
}

// The store falls silent for some seconds; calls of that time are never answered, also
// when it is back. The question for a newer configuration stays open for long: left to its
// own timeout, it would keep a dropped key valid for half a minute.
func TestCatalogAsksAnewAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5}
		c, _ := start(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.mute = true })
		time.Sleep(3 * time.Second)
		s.set(func() { s.mute, s.config, s.rev = false, &routing.Config{Version: 2}, 6 })
		time.Sleep(4 * time.Second)
		require.EqualValues(t, 2, c.Version())
	})
}

// The store has forgotten its history, and an instance left in the gap: only reading the
// whole list shows it.
func TestCatalogReadsAllWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}, {ID: "b"}}, rev: 5}
		c, _ := start(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.forgotten, s.instances, s.rev = 8, []upstream.Instance{{ID: "b"}}, 8 })
		time.Sleep(1500 * time.Millisecond)
		require.Nil(t, c.Instances().Get("a"))
		require.NotNil(t, c.Instances().Get("b"))
	})
}

// The store is away so long that the entries of all upstreams lapse; they are alive, and
// write themselves in again within two seconds. Taken for gone, they would leave every
// request without an upstream until then. One that stays away is gone.
func TestCatalogKeepsInstancesThatLapsedWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}, {ID: "b"}}, rev: 5}
		c, _ := start(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(10 * time.Second)
		s.set(func() { s.down, s.forgotten, s.instances, s.rev = false, 20, nil, 20 })
		time.Sleep(time.Second)
		require.NotNil(t, c.Instances().Get("a"))
		s.set(func() { s.changes, s.rev = []upstream.Change{{Instance: upstream.Instance{ID: "b"}}}, 21 })
		time.Sleep(2 * time.Second)
		require.Nil(t, c.Instances().Get("a"))
		require.NotNil(t, c.Instances().Get("b"))
	})
}

// Each router's own questions about upstreams would cost calls that grow with the fleet.
// A router that is told by its peers asks nothing; when they fall silent, or none of them
// reaches the store, it asks within a second and a half.
func TestCatalogLeavesTheReadingToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5, follower: true}
		c, _ := start(t, s)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			rev := c.InstancesRevision() + 1
			require.True(t, c.Same(rev-1))
			c.Confirm(rev, time.Now())
		}
		s.mu.Lock()
		require.LessOrEqual(t, s.asked, 1)
		require.LessOrEqual(t, s.askedConfig, 1)
		s.config, s.rev, s.changes = &routing.Config{Version: 2}, 100, []upstream.Change{{Instance: upstream.Instance{ID: "a"}, Gone: true}}
		s.mu.Unlock()
		time.Sleep(followerAge + 500*time.Millisecond)
		require.Nil(t, c.Instances().Get("a"))
		require.EqualValues(t, 2, c.Version(), "nobody tells of it any more")
		require.False(t, c.Same(25), "the list has become another since")
	})
}

// Nothing changes in the list for minutes, and a router that reads for many waits for a
// change all that time. Those that go by it would take their list for old, and all ask.
func TestCatalogIsConfirmedOftenForMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5, many: true, patient: true}
		c, _ := start(t, s)
		time.Sleep(time.Second)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			require.Less(t, c.InstancesAge(time.Now()), followerAge-400*time.Millisecond)
		}
	})
}

// A router comes back after an outage and keeps, for the grace, instances that are missing
// from the store's list; one of them has left for good. Told to another router as the
// list at that revision, it would stay there for ever: no later change takes it away.
func TestListsForOthersHoldNoLapsedInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := quiet()
		a, b := New(l), New(l)
		both := []upstream.Instance{{ID: "gone"}, {ID: "stays"}}
		a.Replace(both, 1, time.Now(), "store")
		b.Replace(both, 1, time.Now(), "store")
		time.Sleep(outage + time.Second)
		b.Confirm(1, time.Now())
		a.Replace(both[1:], 5, time.Now(), "store")
		require.NotNil(t, a.Instances().Get("gone"), "it may have lapsed with the store")

		list, rev := a.List()
		b.Replace(list.List(), rev, time.Now(), "peer")
		require.Nil(t, b.Instances().Get("gone"), "b has known that the store was there")
		time.Sleep(lapseGrace + time.Second)
		a.Settle(time.Now())
		b.Settle(time.Now())
		require.Nil(t, a.Instances().Get("gone"))
		require.Nil(t, b.Instances().Get("gone"))

		c := New(l)
		c.Replace(both, 1, time.Now(), "store")
		time.Sleep(outage + time.Second)
		c.Replace(both[1:], 5, time.Now(), "peer")
		require.NotNil(t, c.Instances().Get("gone"), "whoever tells c: it was without the store itself")
	})
}

// The same, with the removal told by the feed within the grace: a router that asks what is
// new since before must not be told that nothing is.
func TestHeldBackRemovalsAreNewsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := quiet()
		a := New(l)
		both := []upstream.Instance{{ID: "gone"}, {ID: "stays"}}
		a.Replace(both, 1, time.Now(), "store")
		time.Sleep(outage + time.Second)
		a.Replace(both, 5, time.Now(), "store")
		a.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "gone"}, Gone: true}}, 5, 6, "store")
		require.NotNil(t, a.Instances().Get("gone"))
		require.False(t, a.Same(5))
		list, rev := a.List()
		require.EqualValues(t, 6, rev)
		require.Nil(t, list.Get("gone"))
	})
}

// An answer of the store is late and overtaken by a peer's word of a newer version.
func TestCatalogNeverGoesBack(t *testing.T) {
	l, _ := quiet()
	c := New(l)
	c.Adopt(&routing.Config{Version: 7}, "peer")
	c.Adopt(&routing.Config{Version: 6}, "store")
	require.EqualValues(t, 7, c.Version())
	c.Replace([]upstream.Instance{{ID: "new"}}, 9, time.Now(), "peer")
	c.Replace([]upstream.Instance{{ID: "old"}}, 8, time.Now(), "store")
	c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "new"}, Gone: true}}, 3, 7, "store")
	c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "new"}, Gone: true}}, 11, 12, "store")
	require.NotNil(t, c.Instances().Get("new"))
	c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "new"}, Gone: true}}, 9, 10, "store")
	require.Nil(t, c.Instances().Get("new"))
}
