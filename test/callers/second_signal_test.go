package callers_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
)

// A router drains and waits for long answers; whoever gave the word can wait no longer and
// sends the signal once more, which the page on draining says ends the process at once.
// The application framework had subscribed to the same signals beside us, so that the
// second one was taken and nothing came of it: the router waited for its answers to end.
func TestASecondSignalEndsADrainingRouterAtOnce(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	sent := w.SendAll(w.Requests(3, load.Streamed, 3000)...)
	w.AwaitRunning(3)
	require.NoError(t, w.Routers[0].Terminate())
	w.AwaitLine(0, "draining")
	w.Eventually("a further signal ends the router", func() bool {
		_ = w.Routers[0].Terminate() // it may have ended
		return w.Routers[0].Ended()
	})
	require.Len(t, failtest.Filter(sent.Wait(), failtest.Broken), 3)
}
