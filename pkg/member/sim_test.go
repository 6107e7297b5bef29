package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// testStart is the virtual time at which simulations begin.
var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim runs rosters on a virtual clock and joins them by a network without delay.
type sim struct {
	t       testing.TB
	now     time.Time
	rosters map[wire.RouterID]*Roster
	addrs   map[string]wire.RouterID
	stopped map[wire.RouterID]bool            // dead or paused: neither ticks nor answers
	cut     func(a, b wire.RouterID) bool     // true: no message from a to b
	bytes   map[wire.RouterID]int             // sent, encoded frames only
	peers   map[wire.RouterID]map[string]bool // whom a router sent pings to
}

func newSim(t testing.TB) *sim {
	return &sim{
		t: t, now: testStart, rosters: map[wire.RouterID]*Roster{}, addrs: map[string]wire.RouterID{},
		stopped: map[wire.RouterID]bool{}, cut: func(a, b wire.RouterID) bool { return false },
		bytes: map[wire.RouterID]int{}, peers: map[wire.RouterID]map[string]bool{},
	}
}

// routerName gives "r00", "r01" and so on.
func routerName(n int) wire.RouterID { return wire.RouterID(fmt.Sprintf("r%02d", n)) }

// start adds a router, or restarts it without state. Its seed is r00.
func (s *sim) start(id wire.RouterID, start time.Time) *Roster {
	addr := "addr-" + string(id)
	r := NewRoster(Options{
		Self:  wire.Member{ID: id, Zone: "z", PeerAddr: addr, EntryAddr: "entry-" + string(id)},
		Start: start, Seeds: []string{"addr-r00"}, Seed: uint64(len(s.rosters)) + 1,
	})
	s.rosters[id] = r
	s.addrs[addr] = id
	s.stopped[id] = false
	s.peers[id] = map[string]bool{}
	return r
}

// fleetOf starts n routers and runs until all see all.
func fleetOf(t testing.TB, n int) *sim {
	s := newSim(t)
	for i := range n {
		s.start(routerName(i), s.now)
	}
	for range 200 {
		if s.agreed(n) {
			return s
		}
		s.run(DefaultHeartbeat)
	}
	require.Fail(t, "the fleet didn't come together")
	return nil
}

// agreed says whether each running router sees n members up.
func (s *sim) agreed(n int) bool {
	for id, r := range s.rosters {
		up := 1
		for _, e := range r.entries {
			if e.up() {
				up++
			}
		}
		if !s.stopped[id] && up != n {
			return false
		}
	}
	return true
}

// run lets d pass in heartbeats.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(DefaultHeartbeat)
		for _, id := range s.ids() {
			s.tick(id)
		}
	}
}

func (s *sim) ids() []wire.RouterID {
	ids := make([]wire.RouterID, 0, len(s.rosters))
	for id := range s.rosters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *sim) tick(id wire.RouterID) {
	if s.stopped[id] {
		return
	}
	for _, o := range s.rosters[id].Tick(s.now, local{version: 1}) {
		to := o.to
		if to == "" {
			to = s.addrs[o.addr]
		}
		s.peers[id][string(to)] = true
		s.deliver(id, to, o.ping)
	}
}

// deliver carries a ping and its answer, each unless the network is cut.
func (s *sim) deliver(from, to wire.RouterID, p wire.Ping) {
	s.count(from, &wire.Frame{Pings: []wire.Ping{p}})
	target := s.rosters[to]
	if target == nil || to == from || s.stopped[to] || s.cut(from, to) {
		return
	}
	pong := target.Ping(s.now, local{version: 1}, from, p)
	s.count(to, &wire.Frame{Pongs: []wire.Pong{pong}})
	if !s.cut(to, from) {
		s.rosters[from].Pong(s.now, to, pong)
	}
}

func (s *sim) count(id wire.RouterID, f *wire.Frame) {
	b, err := wire.Encode(f)
	require.NoError(s.t, err)
	s.bytes[id] += len(b)
}

// state gives what of thinks of id.
func (s *sim) state(of, id wire.RouterID) wire.MemberState {
	r := s.rosters[of]
	if of == id {
		return r.self.State
	}
	e := r.entries[id]
	if e == nil {
		require.Fail(s.t, "a member isn't known", "%s at %s", id, of)
	}
	return e.State
}

// noneDead requires that no router takes another one for dead, but for pairs in except.
func (s *sim) noneDead(except func(a, b wire.RouterID) bool) {
	for a := range s.rosters {
		for b := range s.rosters {
			if s.state(a, b) == wire.MemberDead && !except(a, b) {
				require.Fail(s.t, "a living router is taken for dead", "%s by %s, %v after the start", b, a, s.now.Sub(testStart))
			}
		}
	}
}

// halves cuts the network between the first n routers and the rest.
func halves(n int) func(a, b wire.RouterID) bool {
	border := routerName(n)
	return func(a, b wire.RouterID) bool { return (a < border) != (b < border) }
}

// hostsOf makes a host list of the first n routers.
func hostsOf(n int) platform.HostList {
	var list platform.HostList
	for i := range n {
		name := string(routerName(i))
		list.Hosts = append(list.Hosts, platform.Host{Name: name, Kind: platform.HostEntry, Addr: "addr-" + name, State: platform.HostLive})
	}
	return list
}
