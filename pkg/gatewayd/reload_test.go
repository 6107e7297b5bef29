package gatewayd

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/reload"
	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/warmup"
	"github.com/flamingowind/flamingowind/platform"
)

// testProcess is a process without listeners, with its settings in a file.
type testProcess struct {
	*Process
	file string
	// watcher has read the file that newTestProcess wrote.
	watcher *reload.Watcher
	lines   *memory.Handler
	store   atomic.Value
	hup     chan os.Signal
}

func newTestProcess(t *testing.T) *testProcess {
	r := &testProcess{file: filepath.Join(t.TempDir(), "settings.yaml"), lines: memory.New(), hup: make(chan os.Signal)}
	l := &log.Logger{Handler: r.lines, Level: log.InfoLevel}
	s := DefaultSettings()
	s.Router.Name, s.Store.Addr = "r", "127.0.0.1:1"
	s.Listen = ListenSettings{Callers: "127.0.0.1:2", Readiness: "127.0.0.1:3", Peers: "127.0.0.1:4", Entries: "127.0.0.1:5"}
	r.Process = &Process{log: l, catalog: catalog.New(l), health: upstream.NewHealth(), pools: forward.NewPools("Id"), local: &localState{bookings: booking.NewBook(booking.DefaultRunShare)}, connLimits: newConnLimits(LimitSettings{}, tally.NoopScope, l),
		setStoreAddr: func(addr string) { r.store.Store(addr) }}
	r.settings.Store(&s)
	r.fleet = fleet.New(member(s), nil, l)
	r.warmup = warmup.NewGate(r.roster, r.listCurrent, l)
	r.gateway = gateway.New(gatewaySettings(s), gateway.Dependencies{Dialect: platform.Dialect{}, Catalog: r.catalog, Pools: r.pools, Health: r.health, Log: l})
	r.write(t, "127.0.0.1:1", "1")
	var err error
	r.watcher, err = reload.Open(r.file)
	require.NoError(t, err)
	return r
}

func (r *testProcess) write(t *testing.T, store, keep string) {
	text := "router: {name: r}\nlisten: {callers: 127.0.0.1:2, readiness: 127.0.0.1:3, peers: 127.0.0.1:4, entries: 127.0.0.1:5}\n" +
		"store: {addr: \"" + store + "\"}\nentries: {keepSeconds: " + keep + "}\n"
	require.NoError(t, os.WriteFile(r.file, []byte(text), 0o600))
}

// Guards against a router that keeps using the old store after the operators changed its address and
// other settings, with or without a signal.
func TestChangedSettingsComeIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestProcess(t)
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go r.WatchSettings(ctx, r.watcher, r.hup)
		synctest.Wait()
		r.write(t, "127.0.0.1:9", "3")
		time.Sleep(reload.Every)
		synctest.Wait()
		require.Equal(t, "127.0.0.1:9", r.store.Load())
		require.Equal(t, 3.0, r.settings.Load().Entries.KeepSeconds)

		r.write(t, "127.0.0.1:10", "3")
		r.hup <- syscall.SIGHUP
		synctest.Wait()
		require.Equal(t, "127.0.0.1:10", r.store.Load())
	})
}

// Guards against a partly written or faulty file that replaces the settings in force.
func TestFaultySettingsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestProcess(t)
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go r.WatchSettings(ctx, r.watcher, r.hup)
		synctest.Wait()
		r.write(t, "nowhere", "3")
		r.hup <- syscall.SIGHUP
		synctest.Wait()
		require.Nil(t, r.store.Load())
		require.Equal(t, 1.0, r.settings.Load().Entries.KeepSeconds)
		last := r.lines.Entries[len(r.lines.Entries)-1]
		require.Equal(t, "reload_failed", last.Fields.Get("event"))
	})
}

// Guards against a preference for connected upstreams that only a restart switches off.
func TestReloadSwitchesThePreferenceForConnectionsOff(t *testing.T) {
	r := newTestProcess(t)
	s := *r.settings.Load()
	s.Upstreams.ConnectMs, s.Trial.Off = 0, []string{"connected"}
	r.Reload(s)
	require.Zero(t, r.settings.Load().Upstreams.ConnectMs)
	require.Empty(t, r.lines.Entries[0].Fields.Get("needs_restart"))
}

// Guards against changes that are ignored silently: a listen address needs a restart, which must be
// logged, and all other changes must be applied.
func TestReloadLogsWhatNeedsARestart(t *testing.T) {
	r := newTestProcess(t)
	s := *r.settings.Load()
	s.Listen.Callers, s.Limits.KeptConnections, s.Upstreams.MaxHeadKiB = "127.0.0.1:22", 7, 32
	r.Reload(s)
	require.Equal(t, []string{"listen"}, r.lines.Entries[0].Fields.Get("needs_restart"))
	require.Equal(t, "127.0.0.1:2", r.settings.Load().Listen.Callers)
	require.EqualValues(t, 7, r.conns.limit.Load())
	require.EqualValues(t, 32<<10, r.pools.MaxHead())
}
