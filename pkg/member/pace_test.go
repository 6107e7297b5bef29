package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// exchanges counts the pings of all routers in a number of heartbeats.
func (s *sim) exchanges(beats int) int {
	count := 0
	for range beats {
		s.now = s.now.Add(DefaultHeartbeat)
		for _, id := range s.ids() {
			for _, o := range s.rosters[id].Tick(s.now, local{version: 1, confirmed: true}) {
				count++
				s.deliver(id, o.to, o.ping)
			}
		}
	}
	return count
}

// A fleet in which nothing happens paid for an exchange of each two routers in every
// heartbeat. One in two heartbeats is enough to see a death in time.
func TestQuietRoutersPingEverySecondHeartbeat(t *testing.T) {
	const routers, beats = 6, 60
	s := fleetOf(t, routers)
	s.run(20 * time.Second)
	pairs := routers * (routers - 1) / 2
	quiet := s.exchanges(beats)
	require.LessOrEqual(t, quiet, pairs*beats*7/10)
	require.GreaterOrEqual(t, quiet, pairs*beats/2)
}

// A router leaves between two exchanges of a quiet fleet. The others must hear of it in
// the next heartbeat, whichever of the two that is, or callers come to it for longer.
func TestNewsDontWaitForAQuietExchange(t *testing.T) {
	for offset := range 2 {
		s := fleetOf(t, 6)
		s.run(20 * time.Second)
		s.exchanges(offset)
		s.rosters["r03"].Leave()
		s.exchanges(1)
		for _, id := range s.ids() {
			require.Equal(t, wire.MemberLeaving, s.state(id, "r03"), "at %s, offset %d", id, offset)
		}
	}
}

// A router dies just after it was heard. However rare the pings of a quiet fleet are,
// the others must ask for it and suspect it as soon as before: within SuspectAfter and a
// heartbeat, and take it for dead within DeadAfter and a heartbeat more.
func TestDeathIsSeenInTimeThoughPingsAreRare(t *testing.T) {
	for phase := range 4 {
		s := fleetOf(t, 5)
		s.run(20*time.Second + time.Duration(phase)*DefaultHeartbeat)
		s.stopped["r02"] = true
		s.run(DefaultSuspectAfter + DefaultHeartbeat)
		require.Equal(t, wire.MemberSuspect, s.state("r00", "r02"))
		require.Equal(t, wire.MemberSuspect, s.state("r04", "r02"))
		s.run(DefaultDeadAfter - DefaultSuspectAfter + DefaultHeartbeat)
		require.Equal(t, wire.MemberDead, s.state("r00", "r02"))
	}
}

// The configuration here was confirmed seconds ago and nothing else is to be said. A
// router that only waits to be pinged would have to read the table by itself.
func TestStaleConfirmationIsAskedFor(t *testing.T) {
	s := fleetOf(t, 3)
	s.run(20 * time.Second)
	stale := local{version: 1, confirmed: true, confirmedMs: 1100}
	for range 10 {
		s.now = s.now.Add(DefaultHeartbeat)
		require.NotEmpty(t, s.rosters["r02"].Tick(s.now, stale))
		for _, id := range []wire.RouterID{"r00", "r01"} {
			s.tick(id)
		}
	}
}

// Settings with little room between heartbeat and suspicion leave none to save pings.
func TestPaceFollowsTheSettings(t *testing.T) {
	o := Options{Heartbeat: time.Second, SuspectAfter: 2 * time.Second}
	require.Equal(t, 1, o.pace())
	o.SuspectAfter = 3 * time.Second
	require.Equal(t, 2, o.pace())
	require.Less(t, o.overdueAfter(), o.SuspectAfter)
	require.Less(t, o.suspectAfter(), o.SuspectAfter+o.Heartbeat)
}
