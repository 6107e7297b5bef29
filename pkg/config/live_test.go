package config_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

func version(v uint64) *resource.Snapshot {
	return &resource.Snapshot{Version: v, Organisations: []resource.Organisation{*org("north", float64(v))}}
}

// Snapshots arrive from the table and from peers at once, the newest one first. The
// router must end with the newest; an older one would undo an accepted change.
func TestLiveAdoptsUpwardsOnly(t *testing.T) {
	live := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
	changed, stop := live.Subscribe()
	defer stop()
	require.NoError(t, live.Adopt(start, version(64)))
	<-changed
	require.ErrorIs(t, live.Adopt(start, version(63)), config.ErrOlder)
	require.NoError(t, live.Adopt(start, version(64)), "again")
	require.Empty(t, changed)
	var wg sync.WaitGroup
	for v := uint64(96); v > 64; v-- {
		wg.Go(func() { _ = live.Adopt(start, version(v)) })
	}
	wg.Wait()
	require.EqualValues(t, 96, live.Version())
	require.EqualValues(t, 96, live.Index().Organisation("north").Weight)
	require.Len(t, changed, 1, "changes are coalesced")
}

func TestLiveRefusesAFaultySnapshot(t *testing.T) {
	live := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
	require.NoError(t, live.Adopt(start, version(1)))
	faulty := version(2)
	faulty.Organisations[0].Weight = -1
	var invalid *resource.Invalid
	require.ErrorAs(t, live.Adopt(start, faulty), &invalid)
	require.EqualValues(t, 1, live.Version())
}

func TestAdmitRefusesAsNotRun(t *testing.T) {
	live := config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
	require.NoError(t, live.Adopt(start, version(1)))
	refusal := verdict.From(live.Admit(start))
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Equal(t, verdict.CodeStale, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	live.Confirm(start, 1)
	require.NoError(t, live.Admit(start.Add(confirmWithin)))
	require.Error(t, live.Admit(start.Add(confirmWithin+1)))
	live.Confirm(start.Add(confirmWithin), 2)
	require.Error(t, live.Admit(start.Add(confirmWithin+1)), "a newer version is known")
}

// A router restarts during an outage of the table and gets a snapshot from the first
// peer it meets, which may be an old one. It must hear a majority before it serves,
// and stop when the evidence of the outage gets old or has a gap.
func TestServesByMajorityOnlyOnFreshEvidence(t *testing.T) {
	const second = time.Second
	live := config.NewLive(config.LiveOptions{
		ConfirmWithin: confirmWithin,
		Reach:         config.ReachFunc(func() (int, int) { return 3, 5 }),
	})
	fail := func(at time.Duration) { live.TableRead(start.Add(at), platform.ErrRefused) }
	basis := func(at time.Duration) config.Basis { return live.Basis(start.Add(at)) }
	require.NoError(t, live.Adopt(start, version(1)))
	live.PeerVersion("router-1", 1)
	fail(0)
	fail(second)
	fail(2 * second)
	require.Equal(t, config.BasisNone, basis(2*second), "two of five told their version")
	live.PeerVersion("router-2", 1)
	require.Equal(t, config.BasisMajority, basis(2*second))
	require.Equal(t, config.BasisMajority, basis(5*second))
	require.Equal(t, config.BasisNone, basis(5*second+1), "the last failed read is old")
	fail(6 * second)
	require.Equal(t, config.BasisNone, basis(6*second), "a new streak began")
	fail(7 * second)
	fail(8 * second)
	require.Equal(t, config.BasisMajority, basis(8*second))
	live.PeerVersion("router-3", 2)
	require.Equal(t, config.BasisNone, basis(8*second), "a newer version is known")
	require.NoError(t, live.Adopt(start, version(2)))
	require.Equal(t, config.BasisMajority, basis(8*second))
	live.TableRead(start.Add(8*second), nil)
	require.Equal(t, config.BasisNone, basis(8*second), "the table can be read again")
}
