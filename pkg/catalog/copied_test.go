package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

func instance(id string, state upstream.State) upstream.Instance {
	return upstream.Instance{ID: upstream.ID(id), Service: "s", State: state, Born: 1}
}

// keepEra makes the store respond in an era, with nothing new, for d.
func keepEra(c *Catalog, rev Revision, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		c.Apply(nil, rev, rev, time.Now(), "store")
		c.Prune(time.Now())
	}
	c.Apply(nil, rev, rev, time.Now(), "store")
	c.Prune(time.Now())
}

// Guards against a copy of the store that unlearns departures, removals, restarts and starts, and against beliefs that
// last for ever when nobody writes again.
func TestACopyUnlearnsNothingForAsLongAsItMayBeOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		c := New(l)
		c.Replace([]upstream.Instance{instance("leaving", upstream.Ready), instance("gone", upstream.Ready), instance("reborn", upstream.Ready), instance("stays", upstream.Ready)}, 100, time.Now(), "store")
		reborn := instance("reborn", upstream.Ready)
		reborn.Born = 2
		c.Apply([]upstream.Change{{Instance: instance("leaving", upstream.Draining)}, removed("gone"), {Instance: reborn}, {Instance: instance("started", upstream.Ready)}}, 100, 160, time.Now(), "store")
		time.Sleep(time.Second)

		copied := []upstream.Instance{instance("leaving", upstream.Ready), instance("gone", upstream.Ready), instance("reborn", upstream.Ready), instance("stays", upstream.Ready)}
		second := NewRevision(2, 101)
		c.Replace(copied, second, time.Now(), "store")
		usable := func(id upstream.ID) bool { in := c.Instances().Get(id); return in != nil && c.Placeable(in) }
		require.False(t, usable("leaving"))
		require.False(t, usable("gone"))
		require.False(t, usable("reborn"), "that life has ended")
		require.True(t, usable("stays"))
		require.True(t, usable("started"))
		require.Len(t, c.Departures(), 1, "routers that know only the copy are told")

		keepEra(c, second, gracePeriod+time.Second)
		require.False(t, usable("started"), "nobody has registered it again")
		require.False(t, usable("gone"))
		keepEra(c, second, rewriteTime)
		require.True(t, usable("gone"), "its entry is still there, so it is alive")
		require.False(t, usable("leaving"), "a life that leaves doesn't come back")

		third := NewRevision(3, 90)
		c.Replace(copied, third, time.Now(), "store")
		require.False(t, usable("leaving"))
		require.Equal(t, third, c.InstancesRevision())
		c.Replace(copied, second, time.Now(), "a peer in the older era")
		require.Equal(t, third, c.InstancesRevision())
		c.Apply([]upstream.Change{{Instance: reborn}}, third, third+1, time.Now(), "store")
		require.True(t, usable("reborn"), "it has registered again")
	})
}

// Guards against evacuated zones that a copy lacks and that get requests before the operator has written them again, or
// that stay empty for ever as nobody does.
func TestEvacuationsThatACopyLacksAreHeldForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		c := New(l)
		c.ReplaceEvacuations([]string{"a"}, 100, "store")
		c.ApplyZoneChanges([]ZoneChange{{Zone: "b"}, {Zone: "c"}}, 100, 160, "store")
		second := NewRevision(2, 101)
		c.ReplaceEvacuations([]string{"a"}, second, "store")
		require.Equal(t, []string{"a", "b", "c"}, c.Evacuations().Zones)
		c.ReplaceEvacuations([]string{"a"}, 170, "a peer in the older era")
		require.Equal(t, second, c.Evacuations().Revision)
		c.ApplyZoneChanges([]ZoneChange{{Zone: "b"}}, second, second+1, "store")
		time.Sleep(rewriteTime)
		c.Prune(time.Now())
		require.Equal(t, []string{"a", "b"}, c.Evacuations().Zones, "b was written again, c was not")
		c.ApplyZoneChanges([]ZoneChange{{Zone: "b", Restored: true}}, second+1, second+2, "store")
		require.Equal(t, []string{"a"}, c.Evacuations().Zones)
	})
}
