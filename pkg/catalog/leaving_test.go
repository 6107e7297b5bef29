package catalog

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// announced returns a catalog in which upstream a, in its first life, has announced that it leaves.
func announced() (*Catalog, upstream.Instance) {
	l, _ := newTestLogger()
	c := New(l)
	a := upstream.Instance{ID: "a", Service: "s", State: upstream.Ready, Born: 1}
	c.Replace([]upstream.Instance{a, {ID: "b", Service: "s", State: upstream.Ready}}, 1, time.Now(), "store")
	c.NoteDeparture(Departure{Life: a.Life(), At: time.Now()}, "response")
	return c, a
}

// Guards against lists that are older than an upstream's own announcement, or don't contain it yet, and bring the
// upstream back into use.
func TestNoListTakesAnAnnouncedDepartureBack(t *testing.T) {
	for name, listed := range map[string]func(c *Catalog, a upstream.Instance){
		"nothing read since": func(*Catalog, upstream.Instance) {},
		"the whole list":     func(c *Catalog, a upstream.Instance) { c.Replace([]upstream.Instance{a}, 2, time.Now(), "store") },
		"a peer's list":      func(c *Catalog, a upstream.Instance) { c.Replace([]upstream.Instance{a}, 1, time.Now(), "peer") },
		"a heartbeat": func(c *Catalog, a upstream.Instance) {
			a.WarmupTold = true
			c.Apply([]upstream.Change{{Instance: a}}, 1, 2, time.Now(), "store")
		},
		"an entry that was gone": func(c *Catalog, a upstream.Instance) {
			c.Replace(nil, 2, time.Now(), "store")
			c.Prune(time.Now().Add(leavingRetention - time.Second))
			c.Replace([]upstream.Instance{a}, 3, time.Now(), "store")
		},
	} {
		c, a := announced()
		chosen := c.Instances().Get("a")
		listed(c, a)
		require.Equal(t, upstream.Draining, c.Instances().Get("a").State, name)
		require.False(t, c.StillPlaceable(chosen), name)
		require.Len(t, c.Departures(), 1, name)
	}
}

// Guards against a departure that keeps the next life of the upstream out of use.
func TestADepartureEndsWithItsLife(t *testing.T) {
	c, a := announced()
	a.Born = 2
	c.Replace([]upstream.Instance{a}, 2, time.Now(), "store")
	require.True(t, c.Placeable(c.Instances().Get("a")))
	require.Empty(t, c.Departures())
}

// Guards against peers that get announcements as part of a revision of the list, which other routers have without
// them, and against reports that go on once the list says the same.
func TestAnnouncementsAreNoPartOfTheList(t *testing.T) {
	c, a := announced()
	set, _, _ := c.List()
	require.Equal(t, upstream.Ready, set.Get("a").State)
	a.State = upstream.Draining
	c.Apply([]upstream.Change{{Instance: a}}, 1, 2, time.Now(), "store")
	set, _, _ = c.List()
	require.Equal(t, upstream.Draining, set.Get("a").State)
	require.Empty(t, c.Departures())
}

// Guards against memory that grows with the lives that upstreams, or peers, ever named.
func TestRememberedDeparturesAreBounded(t *testing.T) {
	c, _ := announced()
	for i := range maxLeaving + 10 {
		c.NoteDeparture(Departure{Life: upstream.Life{ID: upstream.ID(strconv.Itoa(i))}, At: time.Now()}, "peer")
	}
	require.Len(t, c.leaving, maxLeaving)
	c.Prune(time.Now().Add(leavingRetention))
	require.Len(t, c.leaving, 1, "of those that aren't listed none is kept")
}
