package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/pkg/gatewayd"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	service = "s"
	org     = "org"
	key     = "key"
	// engines is how many upstreams there are: enough for all that the crowd asks.
	engines = 24
	// readyIn bounds a router's start.
	readyIn = 20 * time.Second
)

// stage is a store, engines and one router as a process, all on loopback.
type stage struct {
	store   *platformtest.Store
	engines []*platformtest.Engine
	router  *devfleet.Process
	callers string
}

// newStage starts everything. The router gets as many threads as its host has cores: one.
func newStage(t *testing.T, memoryMiB int) *stage {
	bin := os.Getenv(devfleet.BinEnv)
	if bin == "" {
		t.Fatalf("%s must name the directory of the built programs", devfleet.BinEnv)
	}
	t.Setenv("GOMAXPROCS", "1")
	s := &stage{store: platformtest.NewStore()}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.store.CloseClientConnections)
	s.store.Declare(platformtest.Declaration{Version: 1, Service: service, Moved: service, Keys: map[string]string{key: org}})
	for i := range engines {
		e := platformtest.NewEngine(fmt.Sprintf("i-%d", i))
		e.Behave(platformtest.Behaviour{Delay: 5 * time.Millisecond, Pause: 2 * time.Millisecond})
		t.Cleanup(e.Close)
		t.Cleanup(e.CloseClientConnections)
		s.engines = append(s.engines, e)
		s.store.List(e, service, e.Listener.Addr().String(), false)
	}
	s.start(t, bin, memoryMiB)
	return s
}

func (s *stage) start(t *testing.T, bin string, memoryMiB int) {
	var ports devfleet.Ports
	t.Cleanup(ports.Close)
	settings := gatewayd.DefaultSettings()
	settings.Router = gatewayd.RouterSettings{Name: "small", Zone: "z"}
	settings.Limits.MemoryMiB = memoryMiB
	settings.Store.Addr = s.store.Addr()
	for _, addr := range []*string{&settings.Listen.Callers, &settings.Listen.Readiness, &settings.Listen.Peers, &settings.Listen.Entries} {
		var err error
		*addr, err = ports.Take()
		require.NoError(t, err)
	}
	s.callers = settings.Listen.Callers
	dir := t.TempDir()
	data, err := yaml.Marshal(settings)
	require.NoError(t, err)
	file := filepath.Join(dir, "small.yaml")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	s.router, err = devfleet.StartProcess(dir, "small", filepath.Join(bin, "flamingowind-gateway"), "run", "-settings", file)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = s.router.Resume() // it may not be paused
		_ = s.router.Kill()   // it may have ended
	})
	s.awaitReady(t, settings.Listen.Readiness)
}

func (s *stage) awaitReady(t *testing.T, addr string) {
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + addr + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, readyIn, 20*time.Millisecond)
}

// Share of a core that the small router gets: a tenth, in turns as a quota gives it.
const (
	turn  = 10 * time.Millisecond
	pause = 90 * time.Millisecond
)

// throttle lets the router run for turn and stand still for pause, until ctx ends.
func (s *stage) throttle(ctx context.Context) {
	for waiting.For(ctx, turn) {
		_ = s.router.Pause() // a router that has ended shows in the test
		waiting.For(ctx, pause)
		_ = s.router.Resume()
	}
}

// clockTick is the unit in which the kernel tells processor time.
const clockTick = 10 * time.Millisecond

// processor is the processor time that the router has used so far.
func (s *stage) processor(t *testing.T) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.router.PID()))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // places after the program's name
	var ticks int64
	for _, place := range []int{user, system} {
		n, err := strconv.ParseInt(fields[place], 10, 64)
		require.NoError(t, err)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// watch gives the processor time that the router used in each second until ctx ends.
func (s *stage) watch(ctx context.Context, t *testing.T) []time.Duration {
	var used []time.Duration
	for last := s.processor(t); waiting.For(ctx, time.Second); {
		now := s.processor(t)
		used = append(used, now-last)
		last = now
	}
	return used
}

// lateRuns counts the runs that began long after their caller had left.
func (s *stage) lateRuns(left map[string]time.Time) int {
	late := 0
	for _, e := range s.engines {
		for _, run := range e.List() {
			if at, ok := left[run.ID]; ok && run.At.Sub(at) > tooLate {
				late++
			}
		}
	}
	return late
}

// tooLate is how long after a caller has left nothing may begin for it.
const tooLate = 500 * time.Millisecond
