package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// fakeRegistry is an in-memory registry that counts the calls to it.
type fakeRegistry struct {
	mu      sync.Mutex
	secret  []byte
	members map[string]Member
	reads   int
	writes  int
	down    bool
	era     int64
	// answersAfter is how long a read takes.
	answersAfter time.Duration
}

func newFakeRegistry() *fakeRegistry { return &fakeRegistry{members: make(map[string]Member)} }

// has reports whether a router is on the list.
func (r *fakeRegistry) has(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.members[addr]
	return ok
}

// counts returns the calls so far and the length of the list.
func (r *fakeRegistry) counts() (reads, writes, listed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads, r.writes, len(r.members)
}

func (r *fakeRegistry) Read(ctx context.Context) ([]byte, []Member, error) {
	r.mu.Lock()
	slow := r.answersAfter
	r.mu.Unlock()
	if waiting.For(ctx, slow); ctx.Err() != nil {
		return nil, nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.down {
		return nil, nil, errors.New("down")
	}
	var list []Member
	for _, m := range r.members {
		list = append(list, m)
	}
	return r.secret, list, nil
}

func (r *fakeRegistry) Secret(_ context.Context, proposal []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	if r.secret == nil {
		r.secret = proposal
	}
	return r.secret, nil
}

func (r *fakeRegistry) Era() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// restore makes the store come back from a copy that has nothing of the fleet.
func (r *fakeRegistry) restore(secret []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secret, r.era = secret, max(1, r.era)+1
	clear(r.members)
}

func (r *fakeRegistry) Register(_ context.Context, m Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	r.members[m.Peers] = m
	return nil
}

func (r *fakeRegistry) Remove(_ context.Context, members []Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	for _, m := range members {
		delete(r.members, m.Peers)
	}
	return nil
}

// newJoining returns a router that is about to join.
func newJoining(i int, first bool, registry Registry) (*router, *Joiner) {
	r := &router{reported: make(chan struct{}, 1)}
	addr := fmt.Sprintf("10.0.0.%d:1", i)
	power := 0.2
	if i%20 == 0 {
		power = 0.8
	}
	r.fleet = New(Member{Name: addr, Peers: addr, Callers: addr, Started: 1, Power: power}, r, discardLog)
	return r, NewJoiner(NewExchanger(r.fleet), registry, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, first, discardLog)
}

// 295 routers start at once. If each made two transactions and repeated the refused ones, the
// store would get 5,295 calls in the first seconds.
func TestAFleetThatStartsCallsTheStoreLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 295
		registry := newFakeRegistry()
		var all []*router
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range n {
			r, j := newJoining(i, true, registry)
			all = append(all, r)
			go j.Run(ctx)
		}
		time.Sleep(presumeAliveFor)
		synctest.Wait()
		for _, r := range all {
			require.Equal(t, registry.secret, r.fleet.Secret())
		}
		reads, writes, listed := registry.counts()
		require.LessOrEqual(t, reads, n)
		require.LessOrEqual(t, writes, 2*targetRegistered)
		require.GreaterOrEqual(t, listed, targetRegistered)
	})
}

// Guards against a router that never finds its fleet, as the registry's answers take longer than a call may at first.
func TestARouterJoinsThroughASlowRegistry(t *testing.T) {
	for _, slow := range []time.Duration{400 * time.Millisecond, 1600 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			registry := newFakeRegistry()
			registry.secret, registry.answersAfter = secret, slow
			self := Member{Name: "a", Peers: "127.0.0.1:1", Callers: "127.0.0.1:2", Started: 1}
			r := &router{reported: make(chan struct{}, 1)}
			r.fleet = New(self, r, discardLog)
			go NewJoiner(NewExchanger(r.fleet), registry, nil, false, discardLog).Run(t.Context())
			time.Sleep(5 * slow)
			synctest.Wait()
			require.Equal(t, secret, r.fleet.Secret(), "answers take %v", slow)
			require.True(t, registry.has(self.Peers))
		})
	}
}

// All routers of a running fleet are killed at once and restart.
func TestAFleetThatStartsAgainReadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 295
		registry := newFakeRegistry()
		registry.secret = secret
		for i := range targetRegistered {
			r, _ := newJoining(i, false, registry)
			registry.members[r.fleet.self.Peers] = r.fleet.self
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*router
		for i := range n {
			r, j := newJoining(i, false, registry)
			all = append(all, r)
			go j.Run(ctx)
		}
		time.Sleep(presumeAliveFor / 2)
		synctest.Wait()
		reads, writes, _ := registry.counts()
		require.Equal(t, n, reads)
		require.Zero(t, writes)
		for _, r := range all {
			require.Equal(t, secret, r.fleet.Secret())
		}
	})
}

// The routers on the list are all gone. New routers that do not register would never find each
// other.
func TestNewcomersRegisterBesideDeadRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := newFakeRegistry()
		registry.secret = secret
		for i := range targetRegistered {
			r, _ := newJoining(100+i, false, registry)
			registry.members[r.fleet.self.Peers] = r.fleet.self
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r, j := newJoining(1, false, registry)
		go j.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, registry.has(r.fleet.self.Peers))
		time.Sleep(presumeAliveFor + aliveTimeout)
		synctest.Wait()
		require.True(t, registry.has(r.fleet.self.Peers))
	})
}

// Routers that ended for good stay on the list, and each new router would try to reach them.
func TestLostRoutersAreTakenOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := newFakeRegistry()
		registry.secret = secret
		lost, _ := newJoining(9, false, registry)
		registry.members[lost.fleet.self.Peers] = lost.fleet.self
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, j := newJoining(1, false, registry)
		go j.Run(ctx)
		time.Sleep(removeAfter - 10*time.Second)
		synctest.Wait()
		require.True(t, registry.has(lost.fleet.self.Peers))
		time.Sleep(time.Minute)
		synctest.Wait()
		require.False(t, registry.has(lost.fleet.self.Peers))
		require.True(t, registry.has("10.0.0.1:1"))
	})
}

// A router starts and finds hundreds of routers on the list. If it considered them lost until
// their first report, it would exchange with each of them.
func TestANewcomerPresumesThatListedRoutersAreAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list []Member
		for i := range 200 {
			r, _ := newJoining(i, false, nil)
			list = append(list, r.fleet.self)
		}
		r, _ := newJoining(200, false, nil)
		r.fleet.SetSecret(secret)
		r.fleet.AddMembers(list)
		require.Equal(t, 201, r.fleet.Count())
		asked := r.fleet.duePeers(time.Now())
		require.Less(t, len(asked), maxHubs)
	})
}

// An idle member exchanges rarely, and still receives the state of the fleet.
func TestIdleMembersExchangeLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newTestFleet(n)
		for _, r := range c.routers {
			r.loads = nil
		}
		c.run(4 * time.Second)
		clear(c.exchanges)
		c.run(4 * time.Second)
		for addr, r := range c.routers {
			require.Equal(t, n, r.fleet.Count())
			require.Len(t, r.readyPeers(), n-1)
			if !r.fleet.role.hub {
				require.LessOrEqual(t, c.exchanges[addr], 10, "in 4 s")
			}
		}
		idle := c.member("")
		time.Sleep(memberFastInterval)
		idle.fleet.NoteRequest(time.Now())
		require.Len(t, idle.fleet.wake, 1)
		require.NotEmpty(t, idle.fleet.duePeers(time.Now()), "a request makes it exchange immediately")
	})
}
