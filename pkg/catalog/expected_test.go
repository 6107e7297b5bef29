package catalog

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against requests that use a list of upstreams before what decides on it knows of it.
func TestAListIsExpectedBeforeItIsInUse(t *testing.T) {
	c := New(&log.Logger{Handler: discard.New()})
	expected := 0
	c.OnExpected(func(set *upstream.Set) {
		expected++
		require.NotSame(t, set, c.Instances(), "it is in use already")
	})
	inUse := 0
	c.OnInstances(func(set *upstream.Set, _ time.Time) {
		inUse++
		require.Equal(t, expected, inUse)
		require.Same(t, set, c.Instances())
	})
	c.Replace([]upstream.Instance{{ID: "a"}, {ID: "b"}}, 1, time.Now(), "store")
	c.Apply([]upstream.Change{removed("b")}, 1, 2, time.Now(), "store")
	c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "b"}}}, 2, 3, time.Now(), "store")
	require.Equal(t, 3, inUse)
}
