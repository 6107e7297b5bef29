package catalog

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
)

func TestARouterIsOutdatedUntilItHasWhatOthersHave(t *testing.T) {
	c := New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	require.False(t, c.Outdated())
	c.Adopt(&routing.Config{Version: 4}, "store")
	c.NotePeerVersion(3)
	require.False(t, c.Outdated())
	c.NotePeerVersion(9)
	c.NotePeerVersion(5)
	require.True(t, c.Outdated())
	c.Adopt(&routing.Config{Version: 5}, "store")
	require.True(t, c.Outdated())
	c.Adopt(&routing.Config{Version: 9}, "store")
	require.False(t, c.Outdated())
}
