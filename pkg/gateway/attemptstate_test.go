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

// streamWithPause streams three events and pauses before the last one.
func streamWithPause(pause time.Duration) http.HandlerFunc {
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

// useEngines makes the service one of model engines that fetch KV cache from each other.
func (env *testEnv) useEngines() {
	cfg := env.config()
	cfg.Version = 2
	cfg.Services[0].Engine = &routing.Engine{Slots: 10, KVCapacity: 1 << 20, EventTokens: 1, KVTokenBytes: 1, LinkBitsPerSecond: 1e12}
	for i := range cfg.Routes {
		cfg.Routes[i].MaxPause = 50 * time.Millisecond
	}
	env.catalog.Adopt(cfg, "test")
}

// Guards against prefilling a shared prefix again that a busy engine has cached: the request runs on
// another engine, which is told by the gateway, not by the caller, where to fetch the prefix from.
func TestARequestIsSentWithTheHolderOfItsPrompt(t *testing.T) {
	env := newTestEnv(t)
	env.useEngines()
	env.startUpstreams(respondWith("id: 1\n\n"), respondWith("id: 1\n\n"))
	status, _, _ := env.get("/stream/x", "X-Tokens", "100", "X-Shared", "5000")
	require.Equal(t, http.StatusOK, status)
	env.gateway.loads.SetOthers(busyFirstInstance())
	status, _, _ = env.get("/stream/x", "X-Tokens", "100", "X-Shared", "5000", "X-Id", "request-2")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "i1", env.received[1].Header.Get("X-Instance"))
	require.Equal(t, env.catalog.Instances().Get("i0").Addr, env.received[1].Header.Get("X-Fetch"))
	require.Empty(t, env.received[0].Header.Get("X-Fetch"), "no engine had cached the prefix")
}

// Guards against protecting a stream that is late already. Its engine prefills a long prompt beside it,
// and the stream pauses for longer than its route allows: a further pause does no more harm.
func TestALongPauseIsLearnedAndMarksTheStreamLate(t *testing.T) {
	env := newTestEnv(t)
	env.useEngines()
	env.startUpstreams(streamWithPause(300 * time.Millisecond))
	life := upstream.Life{ID: "i0"}
	longPrefill := env.gateway.estimator.BeginPrefill("app", life, 600*time.Millisecond, time.Now())
	done := make(chan struct{})
	go func() {
		defer close(done)
		env.get("/stream/x", "X-Tokens", "100")
	}()
	require.Eventually(t, func() bool { return env.gateway.loads.Load(life).PauseWeight == 1 }, time.Second, time.Millisecond)
	<-done
	longPrefill.FirstEvent(time.Now())
	longPrefill.End()
	pauses := env.gateway.estimator.OwnPauses()["app"]
	require.Equal(t, 1.0, pauses.Count[6])
	require.Zero(t, env.gateway.loads.Load(life))
}
