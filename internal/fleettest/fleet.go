package fleettest

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
)

const (
	// maxFleets bounds the fleets that run at once, unless AtMost sets a lower number:
	// each has up to a dozen processes.
	maxFleets = 3
	// startWithin bounds the start of a fleet on a busy machine.
	startWithin = 60 * time.Second
)

var fleets = make(chan struct{}, maxFleets)

// AtMost bounds the fleets that run at once; to be called before Main.
func AtMost(n int) { fleets = make(chan struct{}, min(n, maxFleets)) }

// Fleet is a running fleet that ends with its test.
type Fleet struct {
	*devfleet.Fleet
	// Ctx ends with the test.
	Ctx context.Context

	t     testing.TB
	mu    sync.Mutex
	kills []kill
}

type kill struct {
	entry        string
	begun, ended time.Time
}

// Plan is a fleet with relays, so that links can be cut; the caller changes it.
func Plan(routers, engines, orgs int) devfleet.Plan {
	plan := devfleet.DemoPlan("", "")
	plan.Routers, plan.Engines, plan.Services = routers, engines, 0
	plan.Organisations = devfleet.Organisations(orgs)
	plan.Relays = true
	return plan
}

// Start starts the fleet of plan; its programs and its directory are filled in. The
// logs of a failed test are kept.
func Start(t testing.TB, plan devfleet.Plan) *Fleet {
	t.Helper()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	dir, err := os.MkdirTemp("", "fleet-test-")
	require.NoError(t, err)
	plan.BinDir, plan.Dir = binDir, dir
	ctx, cancel := context.WithTimeout(t.Context(), startWithin)
	defer cancel()
	started, err := devfleet.Start(ctx, plan)
	require.NoError(t, err)
	f := &Fleet{Fleet: started, Ctx: t.Context(), t: t}
	t.Cleanup(func() {
		started.Stop(context.Background())
		if t.Failed() {
			t.Logf("logs of the fleet: %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return f
}

// Kill kills router i with SIGKILL and remembers when, for Excuse.
func (f *Fleet) Kill(i int) {
	f.t.Helper()
	begun := time.Now()
	require.NoError(f.t, f.Routers[i].Kill())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kills = append(f.kills, kill{f.Routers[i].Info.Entry, begun, time.Now()})
}

// Excuse is true for a request that was at a router when Kill ended that router: only
// that explains a connection which broke. The process ends at some moment between begun
// and ended, so a request that was sent in between may have met it alive.
func (f *Fleet) Excuse(r load.Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.kills {
		if k.entry == r.Entry && !k.ended.Before(r.Sent) && !k.begun.After(r.Ended) {
			return true
		}
	}
	return false
}

// Audit joins what callers got with what the upstreams ran.
func (f *Fleet) Audit(results []load.Result) load.Audit {
	f.t.Helper()
	attempts, err := load.Journals(f.Ctx, f.Current().Upstreams)
	require.NoError(f.t, err)
	return load.Check(results, attempts, f.Excuse)
}

// All lists the indices of all routers.
func (f *Fleet) All() []int {
	all := make([]int, len(f.Routers))
	for i := range all {
		all[i] = i
	}
	return all
}

// But lists the indices of all routers except those.
func (f *Fleet) But(except ...int) []int {
	out := make(map[int]bool)
	for _, i := range except {
		out[i] = true
	}
	var rest []int
	for i := range f.Routers {
		if !out[i] {
			rest = append(rest, i)
		}
	}
	return rest
}
