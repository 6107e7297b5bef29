package config_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
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
