package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

func TestFleetComesTogetherFromOneSeed(t *testing.T) {
	for _, n := range []int{2, 7, 12, 40} {
		s := fleetOf(t, n)
		require.LessOrEqual(t, s.now.Sub(testStart), 15*time.Second, "fleet of %d", n)
	}
}

// A router's host dies. Callers' requests wait for cells that it kept, so the others
// must notice within DeadAfter and a heartbeat or two, and all of them; a large fleet
// takes longer, since news and refutations travel over several hops.
func TestDeadRouterIsNoticedByAll(t *testing.T) {
	for _, n := range []int{3, 8, 40} {
		s := fleetOf(t, n)
		s.stopped["r01"] = true
		s.run(DefaultDeadAfter + 5*DefaultHeartbeat)
		if n > DefaultFullMesh {
			s.run(10 * DefaultHeartbeat)
		}
		for id := range s.rosters {
			if id != "r01" {
				require.Equal(t, wire.MemberDead, s.state(id, "r01"), "%s in a fleet of %d", id, n)
			}
		}
		require.True(t, s.agreed(n-1), "nobody else may be taken for dead")
	}
}

// A zone is cut off and comes back half a minute later. Both sides go on alone; after
// the cut heals all must be one fleet again, and while it heals no side may take its own
// healthy members for dead on the word of the other side.
func TestPartitionHeals(t *testing.T) {
	for _, n := range []int{6, 100} {
		s := fleetOf(t, n)
		s.cut = halves(n / 2)
		s.run(30 * time.Second)
		require.True(t, s.agreed(n/2))
		alive, known := s.rosters["r00"].View().Reachable()
		require.Equal(t, []int{n / 2, n}, []int{alive, known})
		s.cut = func(a, b wire.RouterID) bool { return false }
		for range 40 {
			s.run(DefaultHeartbeat)
			s.noneDead(halves(n / 2))
		}
		require.True(t, s.agreed(n))
	}
}

// The far side of a healed partition says that a member is dead, which this router heard
// a moment ago. The member must stay, be told, and refute it; but when it says no more,
// the claim counts, although nobody here may have pinged it.
func TestClaimAgainstWhatWasHeardIsPutToTheMember(t *testing.T) {
	s := fleetOf(t, 3)
	r := s.rosters["r00"]
	claim := r.entries["r01"].Member
	claim.State = wire.MemberDead
	r.merge(s.now, "r02", []wire.Member{claim})
	require.Equal(t, wire.MemberAlive, s.state("r00", "r01"))
	require.Contains(t, r.gossipFor(r.entries["r01"]), claim)
	s.stopped["r01"] = true
	for s.state("r00", "r01") == wire.MemberAlive {
		require.Less(t, s.now.Sub(r.entries["r01"].heard), 2*DefaultSuspectAfter)
		s.run(DefaultHeartbeat)
	}
	s.stopped["r01"] = false
	s.run(5 * DefaultHeartbeat)
	require.True(t, s.agreed(3))
	require.Greater(t, r.entries["r01"].Incarnation, claim.Incarnation)
}

// A router's process is stopped for a minute and goes on. It has heard nobody for a
// minute, and the cause is itself: it must not take the others for dead and their cells
// for itself. The others have taken it for dead and must take it back.
func TestPausedRouterBlamesNobody(t *testing.T) {
	s := fleetOf(t, 6)
	s.stopped["r03"] = true
	s.run(time.Minute)
	require.Equal(t, wire.MemberDead, s.state("r00", "r03"))
	s.stopped["r03"] = false
	before := s.rosters["r03"].self.Incarnation
	s.rosters["r03"].Tick(s.now, local{}) // the first thing it does, before any answer
	for id := range s.rosters {
		require.Equal(t, wire.MemberAlive, s.state("r03", id))
	}
	for range 20 {
		s.run(DefaultHeartbeat)
		for id := range s.rosters {
			require.Equal(t, wire.MemberAlive, s.state("r03", id))
		}
	}
	require.True(t, s.agreed(6))
	require.Greater(t, s.rosters["r03"].self.Incarnation, before)
	require.Equal(t, Life(before), Life(s.rosters["r03"].self.Incarnation), "a refutation is no restart")
}

// The same with a pause just below SuspectAfter: the pause itself must not push a
// member over its limit.
func TestShortPauseBlamesNobody(t *testing.T) {
	s := fleetOf(t, 3)
	r := s.rosters["r00"]
	s.now = s.now.Add(DefaultHeartbeat)
	r.Tick(s.now, local{}) // pings whose answers stay unread
	s.now = s.now.Add(1400 * time.Millisecond)
	r.Tick(s.now, local{})
	require.Equal(t, wire.MemberAlive, s.state("r00", "r01"))
}

// A router restarts without state, once with a clock that went back. The others hold
// the record of its last life; the new one must win, and be told apart from a refutation.
func TestRestartTakesAHigherIncarnation(t *testing.T) {
	for _, clock := range []time.Duration{time.Minute, -time.Hour} {
		s := fleetOf(t, 5)
		before, _ := s.rosters["r00"].View().Member("r02")
		s.start("r02", testStart.Add(clock))
		s.run(10 * time.Second)
		require.True(t, s.agreed(5))
		after, _ := s.rosters["r00"].View().Member("r02")
		require.Greater(t, Life(after.Incarnation), Life(before.Incarnation), "clock %v", clock)
		require.Equal(t, after.Incarnation, s.rosters["r02"].self.Incarnation)
	}
}

// An old message, held up in some queue, says that a member is dead or had another
// address. Its incarnation is lower than what is known; it must change nothing.
func TestStaleGossipIsIgnored(t *testing.T) {
	s := fleetOf(t, 3)
	r := s.rosters["r00"]
	old, _ := r.View().Member("r01")
	fresh := old
	fresh.Incarnation++
	r.merge(s.now, "r02", []wire.Member{fresh})
	old.State, old.PeerAddr = wire.MemberDead, "elsewhere"
	r.merge(s.now, "r02", []wire.Member{old, {ID: ""}})
	got, _ := r.View().Member("r01")
	require.Equal(t, fresh, got)
}

// One cable between two routers is broken; both still reach all others. Neither may
// take the other one for dead: that would tear the fleet's views of the keepers apart.
func TestOneBrokenPathKillsNobody(t *testing.T) {
	for _, n := range []int{4, 40} {
		s := fleetOf(t, n)
		target := s.rosters["r00"].targets()[0]
		s.cut = func(a, b wire.RouterID) bool {
			return (a == "r00" && b == target) || (b == "r00" && a == target)
		}
		for range 60 {
			s.run(DefaultHeartbeat)
			require.True(t, s.agreed(n))
		}
	}
}

func TestLeaveIsSpreadAndNotMissed(t *testing.T) {
	s := fleetOf(t, 5)
	leaver := s.rosters["r04"]
	leaver.Leave()
	require.False(t, leaver.LeaveSpread())
	s.run(DefaultHeartbeat)
	require.True(t, leaver.LeaveSpread())
	for id, r := range s.rosters {
		require.Equal(t, wire.MemberLeaving, s.state(id, "r04"))
		require.NotEqual(t, wire.RouterID("r04"), r.View().Keeper("pool/0"))
	}
	s.stopped["r04"] = true
	s.run(10 * time.Second)
	alive, known := s.rosters["r00"].View().Reachable()
	require.Equal(t, []int{4, 4}, []int{alive, known}, "who left in good order isn't missed")
}

// The small side of a partition must know that it is small for as long as the cut
// lasts; only the host list, which comes from outside, may strike members off.
func TestDeadAreForgottenByTheHostListOnly(t *testing.T) {
	s := fleetOf(t, 5)
	s.stopped["r04"] = true
	s.run(24 * time.Minute)
	r := s.rosters["r00"]
	r.SetHosts(s.now, hostsOf(4))
	_, known := r.View().Reachable()
	require.Equal(t, 5, known, "the list may lag")
	r.SetHosts(s.now.Add(DefaultHostGone), hostsOf(4))
	_, known = r.View().Reachable()
	require.Equal(t, 4, known)
	r.SetHosts(s.now.Add(DefaultHostGone), hostsOf(1))
	require.True(t, s.agreed(4), "who lives stays whatever the list says")
}

// All seeds are gone and a router starts. The host list, though late, names others.
func TestHostListIsASecondSource(t *testing.T) {
	s := fleetOf(t, 4)
	s.stopped["r00"] = true
	late := s.start("r09", s.now)
	s.run(3 * time.Second)
	alive, known := late.View().Reachable()
	require.Equal(t, []int{1, 1}, []int{alive, known})
	late.SetHosts(s.now, hostsOf(4))
	_, known = late.View().Reachable()
	require.Equal(t, 5, known, "hosts that were never met count as known")
	s.run(5 * time.Second)
	alive, _ = late.View().Reachable()
	require.Equal(t, 4, alive)
}

// A confirmation is counted from when the ping was sent: an answer that waited in this
// router's socket during a pause must not look fresh.
func TestConfirmationCountsFromThePing(t *testing.T) {
	s := fleetOf(t, 2)
	r, other := s.rosters["r00"], s.rosters["r01"]
	sent := s.now
	ping := r.newPing(sent, local{}, "r01")
	pong := other.Ping(sent, local{version: 7, confirmed: true, confirmedMs: 300}, "r00", ping)
	_, ok := r.Pong(sent, "r09", pong)
	require.False(t, ok, "somebody else's answer")
	c, ok := r.Pong(sent.Add(time.Minute), "r01", pong)
	require.True(t, ok)
	require.Equal(t, confirmation{at: sent.Add(-300 * time.Millisecond), version: 7}, c)
	_, ok = r.Pong(sent, "r01", pong)
	require.False(t, ok, "the same answer again")
}
