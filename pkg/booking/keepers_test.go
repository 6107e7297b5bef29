package booking

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func all(string) bool { return true }

func TestTheKeeperIsInTheZoneOfTheEngines(t *testing.T) {
	routers := []Router{{"a", "one"}, {"b", "two"}, {"c", "two"}, {"d", "three"}}
	require.Equal(t, "a", KeeperOf(routers, "one", all))
	require.Contains(t, []string{"b", "c"}, KeeperOf(routers, "two", all))
	require.NotEmpty(t, KeeperOf(routers, "four", all), "a zone without routers has a keeper elsewhere")
	require.Empty(t, KeeperOf(nil, "one", all))
}

func TestAllRoutersDeriveTheSameKeeper(t *testing.T) {
	routers := []Router{{"a", "one"}, {"b", "one"}, {"c", "two"}, {"d", "two"}, {"e", "two"}}
	reversed := []Router{{"e", "two"}, {"d", "two"}, {"c", "two"}, {"b", "one"}, {"a", "one"}}
	for _, zone := range []string{"one", "two", "three"} {
		require.Equal(t, KeeperOf(routers, zone, all), KeeperOf(reversed, zone, all))
	}
}

// Guards against losing the turns of a zone with its keeper: the others agree on the next one.
func TestALostKeeperIsReplaced(t *testing.T) {
	var routers []Router
	for i := range 6 {
		routers = append(routers, Router{fmt.Sprint("r", i), "one"})
	}
	first := KeeperOf(routers, "one", all)
	second := KeeperOf(routers, "one", func(addr string) bool { return addr != first })
	require.NotEqual(t, first, second)
	require.NotEmpty(t, second)
	require.Empty(t, KeeperOf(routers, "one", func(string) bool { return false }))
}
