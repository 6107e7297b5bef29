package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// pausing streams three events and stands still for a while before the last.
func pausing(pause time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		for _, event := range []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"} {
			if event == "id: 3\n\n" {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(rw, event)
			_ = http.NewResponseController(rw).Flush()
		}
	}
}

// engines makes the service one of model engines that copy from each other.
func (w *world) engines() {
	cfg := w.config()
	cfg.Version = 2
	cfg.Services[0].Engine = &routing.Engine{Slots: 10, KVCapacity: 1 << 20, EventTokens: 1, KVTokenBytes: 1, LinkBitsPerSecond: 1e12}
	for i := range cfg.Routes {
		cfg.Routes[i].MaxPause = 50 * time.Millisecond
	}
	w.catalog.Adopt(cfg, "test")
}

// A request's shared part was read by an engine that is busy now. The next one runs at another
// engine, which is told where to copy the part from, and by no caller.
func TestARequestIsSentWithTheHolderOfItsPrompt(t *testing.T) {
	w := newWorld(t)
	w.engines()
	w.upstreams(says("id: 1\n\n"), says("id: 1\n\n"))
	status, _, _ := w.get("/stream/x", "X-Tokens", "100", "X-Shared", "5000")
	require.Equal(t, http.StatusOK, status)
	w.gateway.ledger.SetOthers(fullLoad())
	status, _, _ = w.get("/stream/x", "X-Tokens", "100", "X-Shared", "5000", "X-Id", "request-2")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "i1", w.seen[1].Header.Get("X-Instance"))
	require.Equal(t, w.catalog.Instances().Get("i0").Addr, w.seen[1].Header.Get("X-Fetch"))
	require.Empty(t, w.seen[0].Header.Get("X-Fetch"), "nobody kept it")
}

// A stream stood still for longer than its route allows while a long prompt was read beside it:
// it is late from then on, and a further pause does it no harm.
func TestAPauseIsLearnedAndSpoilsTheStream(t *testing.T) {
	w := newWorld(t)
	w.engines()
	w.upstreams(pausing(300 * time.Millisecond))
	life := upstream.Life{ID: "i0"}
	long := w.gateway.paces.BeginPrefill("app", life, 600*time.Millisecond, time.Now())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.get("/stream/x", "X-Tokens", "100")
	}()
	require.Eventually(t, func() bool { return w.gateway.ledger.Load(life).PauseWeight == 1 }, time.Second, time.Millisecond)
	<-done
	long.FirstEvent(time.Now())
	long.End()
	seen := w.gateway.paces.OwnPauses()["app"]
	require.Equal(t, 1.0, seen.Count[6])
	require.Zero(t, w.gateway.ledger.Load(life))
}
