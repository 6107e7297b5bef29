package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/settings"
)

// Operators change an address, a bound of the listener and a bound of requests in one
// file. They must learn which of it waits for a restart, and nothing else.
func TestReloadNamesWhatNeedsARestart(t *testing.T) {
	old := settings.Default()
	s := old
	require.Equal(t, []string{}, needRestart(old, s))
	s.Limits.MaxBody++
	require.Equal(t, []string{}, needRestart(old, s))
	s.Listen.Entry, s.Limits.MaxHeader, s.Peers.Seeds = "127.0.0.1:1", 1, []string{"127.0.0.1:2"}
	require.Equal(t, []string{"listen", "peers", "limits.maxHeader"}, needRestart(old, s))
}
