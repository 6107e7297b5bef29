package gatewayd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
)

// Guards against a slow start of which nobody can tell what it waited for.
func TestTheLogTellsWhatAStartWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, began := memory.New(), time.Now()
		after := func(d time.Duration) func() bool { return func() bool { return time.Since(began) >= d } }
		s := startup{log: &log.Logger{Handler: h}, ready: after(25 * time.Second), steps: []startupStep{
			{"config", after(0)}, {"upstreams", after(100 * time.Millisecond)}, {"register", after(25 * time.Second)}}}
		s.run(t.Context())
		require.Len(t, h.Entries, 3)
		for _, e := range h.Entries[:2] {
			require.Equal(t, "not_ready", e.Fields["event"])
			require.Equal(t, []string{"register"}, e.Fields["waits_for"])
		}
		ready := h.Entries[2].Fields
		require.Equal(t, "ready", ready["event"])
		require.EqualValues(t, 0, ready["config_ms"])
		require.EqualValues(t, 100, ready["upstreams_ms"])
		require.InDelta(t, 25_000, ready["register_ms"], 100)
		require.InDelta(t, 25_000, ready["after_ms"], 100)
	})
}
