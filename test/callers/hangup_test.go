package callers_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// The operators announce other settings to all routers with SIGHUP while answers stream.
// Nothing took the signal, so its default action ended each router in the same
// millisecond, and callers saw their answers break off in the middle. No router wrote a
// line about it; the exit code was 129, that of a process which SIGHUP ended.
func TestTheSignalForOtherSettingsCutsNothing(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	sent := w.SendAll(w.Requests(18, load.Streamed, 150)...)
	w.AwaitRunning(18)
	for _, r := range w.Routers {
		require.NoError(t, r.Hangup())
	}
	w.AllWhole(sent.Wait())
	for _, r := range w.Routers {
		require.False(t, r.Ended(), r.Info.ID)
	}
}

// Operators lower the bound of bodies at one router, and move its address in the same
// file; then they announce a file that isn't sound. The bound holds at once, the address
// is named as one that waits for a restart, and the faulty file changes nothing.
func TestAnnouncedSettingsComeIntoForce(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	require.NoError(t, w.Rewrite(0, func(s *settings.Settings) { s.Limits.MaxBody, s.Listen.Metrics = 8, s.Listen.Entry }))
	require.NoError(t, w.Routers[0].Hangup())
	tooLarge := func() bool {
		return failtest.Code(verdict.CodeTooLarge)(w.Send(w.Request(load.Plain, 0, 0, 1)))
	}
	w.Eventually("the bound holds", tooLarge)
	w.AwaitLine(0, "=[listen]")
	file := filepath.Join(w.Plan.Dir, w.Routers[0].Info.ID+".yaml")
	require.NoError(t, os.WriteFile(file, []byte("limits: {maxBody: large}\n"), 0o600))
	require.NoError(t, w.Routers[0].Hangup())
	w.AwaitLine(0, "reload_failed")
	require.True(t, tooLarge())
	require.False(t, w.Routers[0].Ended())
}
