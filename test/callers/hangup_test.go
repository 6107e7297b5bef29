package callers_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
)

// The operators announce other settings to all routers with SIGHUP while answers stream.
// Nothing took the signal, so its default action ended each router in the same
// millisecond, and callers saw their answers break off in the middle. No router wrote a
// line about it; the exit code was 129, that of a process which SIGHUP ended.
func TestTheSignalForOtherSettingsCutsNothing(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	sent := w.SendAll(w.Requests(18, load.Streamed, 150)...)
	w.Eventually("all streams run", func() bool { return w.Running() == 18 })
	for _, r := range w.Routers {
		require.NoError(t, r.Hangup())
	}
	w.AllWhole(sent.Wait())
	for _, r := range w.Routers {
		require.False(t, r.Ended(), r.Info.ID)
	}
}
