package keeper

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	simSlots   = 2
	simRouters = 3
)

// delivery is a message on its way. Each direction preserves the order; copies come late.
type delivery struct {
	at time.Time
	do func()
}

// sim simulates routers, a lossy network and a keeper in virtual time.
type sim struct {
	t       *rapid.T
	now     time.Time
	k       *Keeper
	routers []*simRouter
	links   map[string][]delivery
	copies  []delivery
	lossy   bool
	starts  map[string]int // by request
	served  int
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: startTime, links: map[string][]delivery{}, starts: map[string]int{}, lossy: true}
	for i := range simRouters {
		s.routers = append(s.routers, &simRouter{
			id: wire.RouterID(fmt.Sprint("r", i)), inc: 1, sent: map[uint64]time.Time{},
		})
	}
	s.replaceKeeper()
	return s
}

// replaceKeeper replaces the keeper by a new one without state.
func (s *sim) replaceKeeper() {
	alive := []wire.RouterID{}
	for _, r := range s.routers {
		alive = append(alive, r.id)
	}
	s.k = New(Options{TTL: simTTL, ReportInterval: simReport}, alive, s.now)
	s.k.Configure([]resource.Upstream{engine("u", simSlots), engine("v", simSlots)}, map[string]float64{"a": 1, "b": 1}, s.now)
}

func (s *sim) chance(percent int) bool { return rapid.IntRange(0, 99).Draw(s.t, "chance") < percent }

func (s *sim) millis(limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(s.t, "ms")) * time.Millisecond
}

// transmit sends a message, which may be lost, delayed or duplicated.
func (s *sim) transmit(link string, do func()) {
	if s.lossy && s.chance(10) {
		return
	}
	at := s.now.Add(s.millis(200))
	if q := s.links[link]; len(q) > 0 && q[len(q)-1].at.After(at) {
		at = q[len(q)-1].at
	}
	s.links[link] = append(s.links[link], delivery{at, do})
	if s.lossy && s.chance(10) {
		s.copies = append(s.copies, delivery{at.Add(s.millis(3000)), do})
	}
}

func (s *sim) deliverDue() {
	for _, r := range s.routers {
		for _, link := range []string{"to " + string(r.id), "from " + string(r.id)} {
			for q := s.links[link]; len(q) > 0 && !q[0].at.After(s.now); q = s.links[link] {
				s.links[link] = q[1:]
				q[0].do()
			}
		}
	}
	rest := s.copies[:0]
	for _, d := range s.copies {
		if d.at.After(s.now) {
			rest = append(rest, d)
		} else {
			d.do()
		}
	}
	s.copies = rest
}

// step advances time by one tick.
func (s *sim) step() {
	s.now = s.now.Add(simTick)
	s.deliverDue()
	for _, r := range s.routers {
		s.tick(r)
	}
	for _, o := range s.k.Next(s.now) {
		for _, r := range s.routers {
			if r.id == o.To && o.Grant != nil {
				s.transmit("to "+string(r.id), func() { s.grant(r, o.Incarnation, *o.Grant) })
			}
		}
	}
}

func (s *sim) startedOn(upstream string) (n int) {
	for _, r := range s.routers {
		for _, q := range r.requests {
			if q.started && q.upstream == upstream {
				n++
			}
		}
	}
	return n
}

// runRandomEvents applies random events, including keeper takeovers if takeOvers is set.
func (s *sim) runRandomEvents(takeOvers bool) {
	for range 400 {
		r := s.routers[rapid.IntRange(0, simRouters-1).Draw(s.t, "router")]
		switch n := rapid.IntRange(0, 199).Draw(s.t, "event"); {
		case n < 30 && len(r.requests) < 8:
			s.addRequest(r)
		case n < 34:
			s.cancel(r)
		case n == 34:
			s.restart(r)
		case n == 35:
			s.k.MarkRouterDead(r.id, s.now)
		case n == 36 && takeOvers:
			s.replaceKeeper()
		}
		s.step()
		for _, u := range []string{"u", "v"} {
			if n := s.startedOn(u); !takeOvers && n > simSlots {
				s.t.Fatalf("%d requests run on %s, which has %d slots", n, u, simSlots)
			}
		}
	}
}

// finish ends all faults and checks that everything ends.
func (s *sim) finish() {
	s.lossy = false
	left := 1
	for n := 0; n < 3000 && left > 0; n++ {
		s.step()
		left = s.k.Slots() + s.k.Backlog()
		for _, r := range s.routers {
			left += len(r.requests)
		}
	}
	if left > 0 {
		s.t.Fatalf("a minute later %d slots are held and %d claims wait", s.k.Slots(), s.k.Backlog())
	}
	for id, n := range s.starts {
		if n > 1 {
			s.t.Fatalf("request %s started %d times", id, n)
		}
	}
}

// Messages are lost, delayed and duplicated; routers pause with unused grants, restart, and
// are wrongly declared dead. No upstream ever runs more requests than its slots, and after
// the faults end every request ends and every slot is free.
func TestLossyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.runRandomEvents(false)
		s.finish()
	})
}

// In addition keepers are repeatedly replaced by new ones without state. They may briefly
// admit too much, but no claim is forgotten and no slot leaks.
func TestLossyNetworkWithTakeOvers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.runRandomEvents(true)
		s.finish()
	})
}
