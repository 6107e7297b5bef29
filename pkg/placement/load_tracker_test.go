package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

func TestLoadTrackerCountsUntilTheEnd(t *testing.T) {
	l := NewLedger()
	e := l.Begin(lifeA, Work{Prompt: documentPrompt(), Unread: 1000})
	require.Equal(t, Load{Running: 1, Unread: 1000, Memory: 6300}, l.Of(lifeA))
	l.SetOthers(map[upstream.Life]Load{lifeA: {Running: 2, Unread: 5}})
	require.Equal(t, Load{Running: 3, Unread: 1005, Memory: 6300}, l.Of(lifeA))
	e.Read()
	require.Equal(t, 5, l.Of(lifeA).Unread)
	e.End()
	e.End()
	require.Equal(t, Load{Running: 2, Unread: 5}, l.Of(lifeA))
	require.Empty(t, l.Own())
}
