package member

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// network hands frames between duties in one process.
type network struct {
	mu     sync.Mutex
	duties map[wire.RouterID]*Duty
	// early counts answers that were sent before the sender's view showed what they answer.
	early atomic.Int64
}

func (n *network) duty(id wire.RouterID) *Duty {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.duties[id]
}

// port is one router's Sender.
type port struct {
	net  *network
	self wire.RouterID
}

func (p port) Send(to wire.RouterID, m peer.Message) {
	target := p.net.duty(to)
	if target == nil {
		return
	}
	f := new(wire.Frame)
	m(f)
	// A duty sends from its own goroutine, which owns the roster.
	if len(f.Pongs) > 0 && p.net.duty(p.self).roster.changed {
		p.net.early.Add(1)
	}
	target.HandleFrame(p.self, f)
}

func (p port) SendAddr(addr string, m peer.Message) { p.Send(wire.RouterID(addr[len("addr-"):]), m) }

// versions records what membership tells the configuration.
type versions struct {
	version  atomic.Uint64
	age      atomic.Int64 // of the confirmation, in nanoseconds; 0: none
	held     atomic.Bool  // the next Version blocks until hold is closed
	hold     chan struct{}
	confirms chan confirmation
}

func (v *versions) Version() uint64 {
	if v.held.CompareAndSwap(true, false) {
		<-v.hold
	}
	return v.version.Load()
}
func (v *versions) Confirmed(time.Time) (time.Duration, bool) {
	age := time.Duration(v.age.Load())
	return age, age > 0
}
func (v *versions) PeerVersion(wire.RouterID, uint64) {}
func (v *versions) Confirm(at time.Time, version uint64) {
	select {
	case v.confirms <- confirmation{at, version}:
	default:
	}
}

// hostReads counts reads of the host list, and notes the moments at which there were some.
type hostReads struct {
	n       atomic.Int64
	moments sync.Map
}

func (h *hostReads) Hosts(context.Context) (platform.HostList, error) {
	h.n.Add(1)
	h.moments.Store(time.Now(), true)
	return platform.HostList{}, nil
}

func (h *hostReads) differentMoments() (n int) {
	h.moments.Range(func(any, any) bool {
		n++
		return true
	})
	return n
}

// start runs a duty until ctx ends.
func (n *network) start(ctx context.Context, wg *sync.WaitGroup, id wire.RouterID, v *versions, h platform.Hosts) *Duty {
	d := NewDuty(Config{
		Options:  Options{Self: wire.Member{ID: id, PeerAddr: "addr-" + string(id)}, Start: time.Now(), Seeds: []string{"addr-r00"}},
		Versions: v, Hosts: h, Poll: time.Second,
	})
	d.Attach(port{net: n, self: id})
	n.mu.Lock()
	n.duties[id] = d
	n.mu.Unlock()
	wg.Go(func() { d.Run(ctx) })
	return d
}

// inFleet runs test in virtual time with n duties that know each other.
func inFleet(t *testing.T, n int, test func(t *testing.T, duties []*Duty, vs []*versions, reads *hostReads)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		net := &network{duties: map[wire.RouterID]*Duty{}}
		reads := new(hostReads)
		var duties []*Duty
		var vs []*versions
		for i := range n {
			v := &versions{hold: make(chan struct{}), confirms: make(chan confirmation, 1)}
			vs = append(vs, v)
			duties = append(duties, net.start(ctx, &wg, routerName(i), v, reads))
		}
		for _, d := range duties {
			awaitAlive(t, d, n, time.After(time.Minute))
		}
		test(t, duties, vs, reads)
	})
}

// awaitAlive waits for the view to hold n members up. A limit in virtual time makes a
// failure out of waiting for ever; there is none on a real clock.
func awaitAlive(t testing.TB, d *Duty, n int, limit <-chan time.Time) {
	changes, stop := d.Subscribe()
	defer stop()
	for {
		if alive, _ := d.View().Reachable(); alive == n {
			return
		}
		select {
		case <-changes:
		case <-limit:
			require.Fail(t, "the fleet didn't come together")
		}
	}
}

// A router is told that its peers know that it leaves, and closes its addresses. A peer
// that answered before its view changed still gives it work in that moment.
func TestAnswersComeAfterTheViewHasChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		net := &network{duties: map[wire.RouterID]*Duty{}}
		var duties []*Duty
		for i := range 3 {
			duties = append(duties, net.start(ctx, &wg, routerName(i), &versions{confirms: make(chan confirmation, 1)}, new(hostReads)))
		}
		for _, d := range duties {
			awaitAlive(t, d, 3, time.After(time.Minute))
		}
		require.NoError(t, duties[2].Leave(ctx))
		require.Zero(t, net.early.Load())
	})
}

func TestDutiesFindEachOtherAndLeave(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, duties []*Duty, _ []*versions, _ *hostReads) {
		require.NoError(t, duties[4].Leave(t.Context()))
		require.NoError(t, duties[4].Leave(t.Context()), "a second signal")
		for _, d := range duties[:4] {
			m, _ := d.View().Member("r04")
			require.Equal(t, wire.MemberLeaving, m.State)
		}
		addr, ok := duties[0].PeerAddr("r04")
		require.True(t, ok)
		require.Equal(t, "addr-r04", addr)
	})
}

func TestConfirmationReachesTheHook(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, duties []*Duty, vs []*versions, _ *hostReads) {
		const age = 700 * time.Millisecond
		vs[1].version.Store(9)
		vs[1].age.Store(int64(age))
		c := <-vs[0].confirms
		require.Equal(t, uint64(9), c.version)
		require.GreaterOrEqual(t, time.Since(c.at), age)
	})
}

// A router is stopped for ten seconds between two heartbeats while the others run on. It
// wakes up late, with nothing heard for long, and must go on holding all for alive.
func TestLateDutyBlamesNobody(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, duties []*Duty, vs []*versions, _ *hostReads) {
		vs[0].held.Store(true)
		pause := time.NewTimer(10 * time.Second)
		<-pause.C
		m, _ := duties[1].View().Member("r00")
		require.Equal(t, wire.MemberDead, m.State)
		changes, stop := duties[0].Subscribe()
		defer stop()
		close(vs[0].hold)
		awaitAlive(t, duties[1], 4, time.After(time.Minute))
		<-changes // its own refutation
		for _, m := range duties[0].View().Members {
			require.Equal(t, wire.MemberAlive, m.State)
		}
	})
}

// The platform takes two thousand reads a second from the whole fleet. Reads of the host
// list must not grow with the number of routers.
func TestHostListReadsDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{3, 9} {
		inFleet(t, n, func(t *testing.T, _ []*Duty, _ []*versions, reads *hostReads) {
			before := reads.n.Load()
			minute := time.NewTimer(time.Minute)
			<-minute.C
			require.InDelta(t, 60, reads.n.Load()-before, 12, "fleet of %d", n)
		})
	}
}

// All routers start at once, as after an outage, and an engine leaves. Were all to read
// the host list at the same moments, nobody would see the mark for a whole round, and the
// engine would get work until its host goes away.
func TestRoutersThatStartTogetherReadTheHostListApart(t *testing.T) {
	inFleet(t, 9, func(t *testing.T, _ []*Duty, _ []*versions, reads *hostReads) {
		read, moments := reads.n.Load(), reads.differentMoments()
		minute := time.NewTimer(time.Minute)
		<-minute.C
		require.EqualValues(t, reads.n.Load()-read, reads.differentMoments()-moments)
	})
}

// An engine leaves in a fleet of nine. By chance alone nobody might read the host list
// for ten seconds, and the engine would get work until its host goes away.
func TestTheHostListIsNeverUnreadForLong(t *testing.T) {
	inFleet(t, 9, func(t *testing.T, _ []*Duty, _ []*versions, reads *hostReads) {
		for range 100 {
			before := reads.n.Load()
			pause := time.NewTimer(3 * time.Second) // 3 × Poll
			<-pause.C
			require.Greater(t, reads.n.Load(), before)
		}
	})
}
