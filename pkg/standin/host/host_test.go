package host

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// running is a host whose first request was in progress when the host crashed.
type running struct {
	*Host
	broken error // what the caller of that request saw
	stop   func() error
}

func crashed(t *testing.T, revive time.Duration) running {
	t.Helper()
	arrived := make(chan struct{})
	var first sync.Once
	h := New("e1", "127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		first.Do(func() {
			close(arrived)
			<-r.Context().Done()
		})
	}))
	ctx, cancel := context.WithCancel(t.Context())
	stopped, broken := make(chan error, 1), make(chan error, 1)
	go func() { stopped <- h.Run(ctx) }()
	<-h.Ready()
	go func() { broken <- get(h) }()
	<-arrived
	h.Crash(revive)
	return running{h, <-broken, func() error {
		cancel()
		return <-stopped
	}}
}

func get(h *Host) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.Addr())
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// An engine's process dies: whoever is connected sees the connection break, and
// whoever connects next is refused. The host is stopped long before it would revive,
// which keeps the clock out of the verdict.
func TestCrashBreaksConnectionsAndRefusesNewOnes(t *testing.T) {
	r := crashed(t, time.Hour)
	require.Error(t, r.broken)
	_, err := net.Dial("tcp", r.Addr())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, r.stop())
}

// The dead engine comes back on the address that routers know. The first request's
// break shows that the old listener is gone, so that only a new one can answer.
func TestRevivesOnTheSameAddress(t *testing.T) {
	r := crashed(t, 0)
	require.Error(t, r.broken)
	for get(r.Host) != nil {
		runtime.Gosched()
	}
	require.NoError(t, r.stop())
}
