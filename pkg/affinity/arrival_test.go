package affinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against streams that begin at a version in the moment between its list being in use and its being closed.
func TestAVersionIsClosedBeforeItsListIsInUse(t *testing.T) {
	f := newFixture()
	f.list("v1")
	f.view.peer.Floor, f.view.rev = 1, 2
	f.ExpectUpstreams(upstream.NewSet([]upstream.Instance{
		{ID: "a", Service: "s", Software: "v1", State: upstream.Ready}, {ID: "b", Service: "s", Software: "v2", State: upstream.Ready},
	}), f.now)
	require.False(t, f.AllOpen())
	require.False(t, f.Open(f.instance("v2"), f.now))
	require.True(t, f.Open(f.instance("v1"), f.now))
	f.ExpectUpstreams(upstream.NewSet([]upstream.Instance{{ID: "b", Service: "s", Software: "v2", State: upstream.Ready}}), f.now)
	require.True(t, f.Open(f.instance("v1"), f.now), "its upstreams are still in use")
}

// Guards against a version that was listed for a moment some seconds ago, unseen by a router that stood still, and
// begins streams at once as it comes back.
func TestAVersionThatComesBackWaitsAsANewOne(t *testing.T) {
	for name, look := range map[string]bool{"after its revision was noted": true, "before": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.list("v1")
			f.view.rev, f.view.peer.Floor, f.view.peer.Complete = 2, 1, false
			f.list("v1", "v2")
			if look {
				require.False(t, f.Open(f.instance("v2"), f.now))
			}
			f.view.rev = 3
			f.list("v1")
			f.now = f.now.Add(openAfter)
			f.view.rev, f.view.peer.Floor, f.view.peer.Complete = 4, 3, true
			f.list("v1", "v2")
			require.False(t, f.Open(f.instance("v2"), f.now), "the others' lists lack it")
			f.now = f.now.Add(openAfter - time.Millisecond)
			require.False(t, f.Open(f.instance("v2"), f.now))
			f.now = f.now.Add(viewInterval)
			require.True(t, f.Open(f.instance("v2"), f.now))
		})
	}
}

// Guards against a version that is taken for known to all by the revision of the list before it, which was read just
// before it came.
func TestAVersionIsKnownByARevisionThatHoldsIt(t *testing.T) {
	f := newFixture()
	f.list("v1")
	f.view.rev, f.view.peer.Floor = 1, 1
	f.list("v1", "v2")
	f.view.rev = 2
	f.view.describing = func() {
		f.view.describing = nil
		f.view.rev = 3
		f.list("v1", "v2", "v3")
	}
	require.False(t, f.Open(f.instance("v2"), f.now))
	for range 3 {
		f.now = f.now.Add(viewInterval)
		f.view.peer.Floor = 2
		require.False(t, f.Open(f.instance("v3"), f.now), "the others' lists lack it")
	}
	f.now = f.now.Add(viewInterval)
	f.view.peer.Floor = 3
	require.True(t, f.Open(f.instance("v3"), f.now))
}
