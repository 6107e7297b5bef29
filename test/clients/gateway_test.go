package clients_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/gatewayd"
	"github.com/flamingowind/flamingowind/pkg/status"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	service = "s"
	org     = "org"
	key     = "key"
	// engines are enough for all that a crowd asks of them.
	engines = 24
	// readyIn bounds a router's start.
	readyIn = 20 * time.Second
	// answeredIn bounds the tries of an ordinary caller, callWait each of them, tryEvery lies between two.
	answeredIn = 6 * time.Second
	callWait   = time.Second
	tryEvery   = 100 * time.Millisecond
	// releasedIn bounds the time in which a router gives back what a crowd held that has left.
	releasedIn = 15 * time.Second
	// spareDescriptors is how many more than before a crowd may stay open, for connections to engines.
	spareDescriptors = 2 * engines
)

// gateway is a flamingowind-gateway as a process, with a store and engines, all on loopback.
type gateway struct {
	store    *platformtest.Store
	engines  []*platformtest.Engine
	process  *devfleet.Process
	settings gatewayd.Settings
	// calm is how many descriptors it had open before any crowd.
	calm int
}

// startGateway starts one on a host with so much memory. It gets as many threads as such hosts have cores: one.
func startGateway(t *testing.T, memoryMiB int) *gateway {
	t.Setenv("GOMAXPROCS", "1")
	g := &gateway{store: platformtest.NewStore(), settings: gatewayd.DefaultSettings()}
	t.Cleanup(g.store.Close)
	t.Cleanup(g.store.CloseClientConnections)
	g.store.Declare(platformtest.Declaration{Version: 1, Service: service, Moved: service, Keys: map[string]string{key: org}})
	for i := range engines {
		e := platformtest.NewEngine(fmt.Sprintf("i-%d", i))
		t.Cleanup(e.Close)
		t.Cleanup(e.CloseClientConnections)
		g.engines = append(g.engines, e)
		g.store.List(e, service, e.Listener.Addr().String(), false)
	}
	g.settings.Router = gatewayd.RouterSettings{Name: "first", Zone: "z"}
	g.settings.Limits.MemoryMiB = memoryMiB
	g.settings.Store.Addr = g.store.Addr()
	g.start(t)
	return g
}

// startBeside starts another router of the same fleet, on a host like that of g.
func (g *gateway) startBeside(t *testing.T, name string) *gateway {
	other := &gateway{store: g.store, engines: g.engines, settings: g.settings}
	other.settings.Router.Name = name
	other.start(t)
	return other
}

func (g *gateway) start(t *testing.T) {
	var ports devfleet.Ports
	t.Cleanup(ports.Close)
	listen := &g.settings.Listen
	for _, addr := range []*string{&listen.Callers, &listen.Readiness, &listen.Peers, &listen.Entries, &listen.Metrics, &listen.Handover} {
		var err error
		*addr, err = ports.Take()
		require.NoError(t, err)
	}
	dir := t.TempDir()
	data, err := yaml.Marshal(g.settings)
	require.NoError(t, err)
	file := filepath.Join(dir, "router.yaml")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	g.process, err = devfleet.StartProcess(dir, g.settings.Router.Name, filepath.Join(os.Getenv(devfleet.BinEnv), "flamingowind-gateway"), "run", "-settings", file)
	require.NoError(t, err)
	t.Cleanup(func() { _ = g.process.Kill() }) // it may have ended
	requireSoon(t, "ready", readyIn, func() (any, bool) {
		status := g.status(listen.Readiness, "/ready")
		return status, status == http.StatusOK
	})
	g.calm = descriptors(g.process.PID())
}

// patientRoutes makes the routes' timeouts a minute, and waits until that is in force.
func (g *gateway) patientRoutes(t *testing.T) {
	g.declare(t, platformtest.Declaration{Service: service, Moved: service, Keys: map[string]string{key: org}, Timeout: time.Minute})
}

// declare replaces the configuration, and waits until the new one is in force.
func (g *gateway) declare(t *testing.T, d platformtest.Declaration) {
	const version = 2
	d.Version = version
	g.store.Declare(d)
	requireSoon(t, "the configuration is in force", readyIn, func() (any, bool) {
		resp, err := http.Get("http://" + metrics(g) + status.PathJSON)
		if err != nil {
			return err, false
		}
		defer resp.Body.Close()
		var is status.Status
		err = json.NewDecoder(resp.Body).Decode(&is)
		return err, err == nil && is.Config == version
	})
}

// limitDescriptors bounds the descriptors that the process may have open.
func (g *gateway) limitDescriptors(t *testing.T, n uint64) {
	require.NoError(t, unix.Prlimit(g.process.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil))
}

// watch watches the process, all its addresses and its connections to engines.
func (g *gateway) watch(t *testing.T) *watch {
	l := g.settings.Listen
	w := newWatch(t, g.process.PID(), l.Callers, l.Readiness, l.Peers, l.Entries, l.Metrics, l.Handover)
	for _, e := range g.engines {
		w.remotes[portOf(t, e.Listener.Addr().String())] = true
	}
	return w.start(t)
}

// memory is what the host allows the process, in bytes.
func (g *gateway) memory() int64 { return int64(g.settings.Limits.MemoryMiB) << 20 }

// status is what a GET request to one of the addresses is answered with; 0 for no answer.
func (g *gateway) status(addr, path string) int {
	return statusOf("http://" + addr + path)
}

// requireServes requires that an ordinary caller is served, on new connections and after some tries.
func (g *gateway) requireServes(t *testing.T, when string) {
	t.Helper()
	requireSoon(t, when, answeredIn, func() (any, bool) {
		caller := platformtest.NewCaller()
		defer caller.Close()
		a := caller.Send(t.Context(), platformtest.Call{ID: "ordinary", Addr: callers(g), Path: platformtest.PathCall, Key: key, Body: "x", Wait: callWait})
		return a, a.Status == http.StatusOK && a.Whole
	})
}

// requireAnswers requires that every other address answers.
func (g *gateway) requireAnswers(t *testing.T, when string) {
	t.Helper()
	l := g.settings.Listen
	for addr, path := range map[string]string{l.Readiness: "/ready", l.Entries: "/resolve?Name=h&Zone=z", l.Metrics: "/metrics"} {
		requireSoon(t, when+": "+path, answeredIn, func() (any, bool) {
			status := g.status(addr, path)
			return status, status == http.StatusOK
		})
	}
}

// requireCalm requires that nothing is left of a crowd that has left.
func (g *gateway) requireCalm(t *testing.T) {
	t.Helper()
	require.False(t, g.process.Ended(), "the process has ended")
	g.requireServes(t, "afterwards")
	g.requireAnswers(t, "afterwards")
	requireClosed(t, g.process.PID(), g.calm)
	requireSoon(t, "memory is given back", releasedIn, func() (any, bool) {
		held := g.heldMemory()
		return held, held == ""
	})
}

// heldMemory returns the gauges of memory that is still held; empty for none.
func (g *gateway) heldMemory() string {
	resp, err := http.Get("http://" + g.settings.Listen.Metrics + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	held := ""
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), "} ")
		if strings.HasPrefix(name, "flamingowind_memory_held_bytes") && value != "0" {
			held += lines.Text() + " "
		}
	}
	return held
}
