package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

func TestLedgerCountsUntilTheEnd(t *testing.T) {
	l := NewLedger()
	e := l.Begin(a, Work{Prompt: journal(), Unread: 1000})
	require.Equal(t, Load{Running: 1, Unread: 1000, Memory: 6300}, l.Of(a))
	l.SetOthers(map[upstream.Life]Load{a: {Running: 2, Unread: 5}})
	require.Equal(t, Load{Running: 3, Unread: 1005, Memory: 6300}, l.Of(a))
	e.Read()
	require.Equal(t, 5, l.Of(a).Unread)
	e.End()
	e.End()
	require.Equal(t, Load{Running: 2, Unread: 5}, l.Of(a))
	require.Empty(t, l.Own())
}
