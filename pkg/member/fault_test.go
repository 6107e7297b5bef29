package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// The network loses one message in ten for two minutes. Suspicions come and go, but no
// living router may be taken for dead: each such mistake moves a router's cells twice.
func TestLossKillsNobody(t *testing.T) {
	for _, n := range []int{6, 40} {
		s := fleetOf(t, n)
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		s.cut = func(a, b wire.RouterID) bool { return rng.IntN(10) == 0 }
		for range 240 {
			s.run(DefaultHeartbeat)
			s.noneDead(func(a, b wire.RouterID) bool { return false })
		}
	}
}

// All hosts are replaced one after the other, as operators do. In the end the fleet is
// whole, and nobody is left behind with an old record.
func TestRollingRestart(t *testing.T) {
	for _, n := range []int{6, 40} {
		s := fleetOf(t, n)
		for i := range n {
			id := routerName(i)
			s.rosters[id].Leave()
			s.run(2 * DefaultHeartbeat)
			s.stopped[id] = true
			s.run(2 * DefaultHeartbeat)
			s.start(id, s.now)
			s.run(2 * DefaultHeartbeat)
		}
		s.run(20 * time.Second)
		require.True(t, s.agreed(n), "fleet of %d", n)
		for id, r := range s.rosters {
			for other := range s.rosters {
				got, _ := s.rosters[other].View().Member(id)
				require.Equal(t, r.self.Incarnation, got.Incarnation)
			}
		}
	}
}

// A whole zone dies, and with it the routers that watched each other there. The rest
// must find out about all of them.
func TestZoneLossIsNoticed(t *testing.T) {
	s := fleetOf(t, 40)
	for i := range 12 {
		s.stopped[routerName(i)] = true
	}
	s.run(30 * time.Second)
	require.True(t, s.agreed(28))
}

// Two routers run under the same ID by mistake, or messages from a healed partition keep
// coming. Whatever members are claimed to be, a roster must not crash, must not lose
// itself, and must keep its bounds.
func FuzzRosterTakesAnyMember(f *testing.F) {
	f.Add("r01", uint64(3), uint8(2), uint64(5), "r00", uint8(3))
	f.Add("", uint64(0), uint8(200), uint64(1)<<63, "r02", uint8(9))
	f.Fuzz(func(t *testing.T, from string, inc uint64, state uint8, other uint64, id string, state2 uint8) {
		r := NewRoster(Options{Self: wire.Member{ID: "r00"}, Start: testStart, MaxMembers: 4})
		claims := []wire.Member{
			{ID: wire.RouterID(from), Incarnation: wire.Incarnation(inc), State: wire.MemberState(state)},
			{ID: wire.RouterID(id), Incarnation: wire.Incarnation(other), State: wire.MemberState(state2)},
		}
		now := testStart
		for range 4 {
			now = now.Add(DefaultHeartbeat)
			r.Tick(now, local{})
			r.Ping(now, local{}, wire.RouterID(from), wire.Ping{Members: claims, Ask: []wire.RouterID{"", "r00", "x"}})
			r.Pong(now, wire.RouterID(from), wire.Pong{Nonce: r.nonce, Members: claims, Heard: []wire.Heard{{ID: "x"}}})
		}
		v := r.View()
		require.LessOrEqual(t, len(v.Members), 4)
		self, ok := v.Member("r00")
		require.True(t, ok)
		require.Equal(t, wire.MemberAlive, self.State)
		require.NotEmpty(t, v.Keeper("pool/0"))
	})
}
