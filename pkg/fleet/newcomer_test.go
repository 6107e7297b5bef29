package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// restartKnowing replaces a router by its next life, which knows these.
func (c *testFleet) restartKnowing(addr string, known []Member) {
	r := &router{reported: make(chan struct{}, 1), listRevision: c.routers[addr].listRevision}
	m := c.routers[addr].fleet.self
	m.Started++
	r.fleet = New(m, r, discardLog)
	r.fleet.SetSecret(secret)
	r.fleet.AddMembers(known)
	c.routers[addr] = r
}

// Guards against a router that has just started, knows nothing of one that has fallen silent, and takes its list for
// known to all: that one may claim an old version as the sole one.
func TestANewRouterReckonsWithOneThatFellSilentBefore(t *testing.T) {
	const silent = "10.0.0.1:1"
	for _, one := range []struct {
		routers, known int
		strong         bool
		silence        time.Duration
	}{
		{5, 1, true, time.Second}, {5, 1, true, 2 * time.Second}, {5, 3, true, 2 * time.Second}, {16, 1, true, 2 * time.Second},
		{48, 20, true, time.Second}, {48, 20, true, 2 * time.Second}, {48, 20, false, 2 * time.Second}, {91, 32, true, 2 * time.Second},
	} {
		t.Run(fmt.Sprint(one), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestFleet(one.routers)
				c.encoded = one.routers < 48
				for _, r := range c.alive() {
					r.listRevision = 9
				}
				c.routers[silent].listRevision = 8
				c.run(2 * time.Second)
				c.down[silent] = true
				c.run(one.silence)
				starting, known := "", []Member(nil)
				for _, p := range c.routers["10.0.0.0:1"].fleet.snapshotAt(time.Now()).ranking {
					if p.addr == silent || p.addr == "10.0.0.0:1" {
						continue
					}
					if starting == "" || !one.strong {
						starting = p.addr
					}
				}
				for _, r := range c.alive() {
					if m := r.fleet.self; m.Peers != starting && len(known) < one.known {
						known = append(known, m)
					}
				}
				c.restartKnowing(starting, known)
				for range 200 {
					c.run(exchangeInterval / 4)
					for _, r := range c.alive() {
						r.fleet.peerViewAt = time.Time{}
						view := r.fleet.PeerView(time.Now())
						require.False(t, view.Complete && view.Floor > 8, "%s of %s sees %+v", r.fleet.self.Peers, r.fleet.role.name(), view)
					}
				}
			})
		})
	}
}

// Guards against versions that begin no streams because a new router waits for one that is not there.
func TestANewRouterSeesAWholeFleet(t *testing.T) {
	for n, seeds := range map[int]int{5: 1, 48: 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestFleet(n)
				for _, r := range c.alive() {
					r.listRevision = 9
				}
				c.run(2 * time.Second)
				var known []Member
				for i := range seeds {
					known = append(known, c.routers[fmt.Sprintf("10.0.0.%d:1", 2+i)].fleet.self)
				}
				c.restartKnowing("10.0.0.1:1", known)
				c.run(2 * time.Second)
				for _, r := range c.alive() {
					view := r.fleet.PeerView(time.Now())
					require.True(t, view.Complete, "%s of %s sees %+v", r.fleet.self.Peers, r.fleet.role.name(), view)
					require.GreaterOrEqual(t, view.Floor, int64(9))
				}
			})
		})
	}
}
