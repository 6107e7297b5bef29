package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

func unusable(id, fault string) upstream.Instance {
	return upstream.Instance{ID: upstream.ID(id), State: upstream.Unusable, Fault: fault}
}

// Another writer replaces an upstream's entry with an unusable one while the entries of others
// expire in an outage of the store. If it were held like an expired entry, the old entry would stay
// in use for the grace period.
func TestUnusableEntriesAreNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		c := New(l)
		c.Replace([]upstream.Instance{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}, 1, time.Now(), "store")
		time.Sleep(minOutage + time.Second)
		c.Replace([]upstream.Instance{unusable("a", "no service"), {ID: "c", Service: "s"}}, 5, time.Now(), "store")
		require.Equal(t, upstream.Unusable, c.Instances().Get("a").State)
		require.NotNil(t, c.Instances().Get("b"), "it expired")
		c.Apply([]upstream.Change{{Instance: unusable("c", "no address")}}, 5, 6, time.Now(), "store")
		require.Equal(t, upstream.Unusable, c.Instances().Get("c").State)
		require.Len(t, c.Instances().ByService("s"), 1)
		keepContact(gracePeriod+time.Second, c)
		require.Nil(t, c.Instances().Get("b"))
		require.NotNil(t, c.Instances().Get("c"))
	})
}

// A faulty writer writes a hundred unusable entries again and again. The log names the fault once
// for each change, and the number of lines is bounded.
func TestUnusableEntriesAreLoggedOnceAndBounded(t *testing.T) {
	l, h := newTestLogger()
	c := New(l)
	c.Replace([]upstream.Instance{{ID: "a"}, unusable("b", "x")}, 1, time.Now(), "store")
	require.Equal(t, 1, h.count("instance_unusable"))
	rev := Revision(1)
	for range 5 {
		c.Apply([]upstream.Change{{Instance: unusable("a", "y")}}, rev, rev+1, time.Now(), "store")
		c.Replace([]upstream.Instance{unusable("a", "y"), unusable("b", "x")}, rev+1, time.Now(), "peer")
		rev++
	}
	require.Equal(t, 2, h.count("instance_unusable"))
	require.EqualValues(t, 2, c.Faults())
	var many []upstream.Change
	for i := range 100 {
		many = append(many, upstream.Change{Instance: unusable(fmt.Sprint(i), "z")})
	}
	c.Apply(many, rev, rev+1, time.Now(), "store")
	require.Equal(t, 2+maxFaultLines+1, h.count("instance_unusable"))
	require.EqualValues(t, 102, c.Faults())
}

// Aborting the attempts at an old life of an instance requires the time until which that life was
// certainly listed: attempts that began later may be at the new one.
func TestListCallbackReceivesWhenThePreviousListWasCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		c := New(l)
		var set *upstream.Set
		var known time.Time
		c.OnInstances(func(s *upstream.Set, at time.Time) { set, known = s, at })
		c.Replace([]upstream.Instance{{ID: "a", Born: 2}}, 1, time.Now(), "store")
		require.True(t, known.IsZero())
		time.Sleep(time.Second)
		c.Confirm(2, time.Now())
		confirmed := time.Now()
		time.Sleep(time.Second)
		c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "a", Born: 1}}}, 2, 3, time.Now(), "store")
		require.Equal(t, confirmed, known)
		require.EqualValues(t, 1, set.Get("a").Born)
	})
}

// Guards against departures that a router learns from a peer's whole list and does not log.
func TestDeparturesInWholeListsAreLogged(t *testing.T) {
	l, h := newTestLogger()
	c := New(l)
	c.Replace([]upstream.Instance{{ID: "a", State: upstream.Ready}, {ID: "b", State: upstream.Ready}, {ID: "c"}}, 1, time.Now(), "store")
	require.Zero(t, h.count("instance_changed"), "nothing was known before")
	c.Replace([]upstream.Instance{{ID: "a", State: upstream.Draining}, {ID: "c"}}, 2, time.Now(), "peer")
	require.Equal(t, 2, h.count("instance_changed"), "one is draining, one was removed")
}
