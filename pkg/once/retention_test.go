package once

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Rows live for the kept epochs and are swept after them, or the table grows for ever.
func TestRowsAreKeptThenSwept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{Sweeps: func() bool { return true }})
		ticket, err := b.Begin(t.Context(), org, "k", content)
		require.NoError(t, err)
		ticket.Ran(200, nil)
		<-time.After(DefaultKeepEpochs * DefaultEpochLength)
		_, err = b.Begin(t.Context(), org, "k", content)
		var replay *Replay
		require.True(t, errors.As(err, &replay), "kept for the whole time")
		<-time.After(2 * DefaultEpochLength)
		_, err = b.Begin(t.Context(), org, "k", content)
		require.NoError(t, err, "swept")
	})
}

// A record is held up in the network for so long that everything about its call is
// swept. When it lands, the caller has been refused long since; the row would bind a
// key to an attempt that never ran, or revive one whose record is gone.
func TestRecordFromAnOldEpochDoesNotLand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{Sweeps: func() bool { return true }})
		late := platformtest.FaultLate
		table.SetFault(faults(late, late, late, late))
		_, err := b.Begin(t.Context(), org, "k", content)
		requireRefusal(t, err, verdict.NotRun, verdict.CodeTableDown)
		<-time.After(4 * DefaultEpochLength)
		_, err = table.Get(t.Context(), rowKey(org, "k"))
		require.ErrorIs(t, err, platform.ErrNotFound, "the released row was swept")
		require.Zero(t, table.DeliverLate())
	})
}

// The epoch moves on while a router still uses the old one: its next record conflicts
// on the epoch row, which must cost a second try and no refusal.
func TestEpochMovesUnderARouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		b, _ := start(t, table, Options{})
		_, err := b.Begin(t.Context(), org, "first", content)
		require.NoError(t, err)
		other := &epoch{store: b.store}
		number, guard, err := other.current(t.Context())
		require.NoError(t, err)
		require.NoError(t, other.advance(t.Context(), number, guard))
		_, err = b.Begin(t.Context(), org, "second", content)
		require.NoError(t, err)
	})
}

// The sweep of a large table must stay within its reads, a list a second.
func TestSweepIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		start(t, table, Options{Sweeps: func() bool { return true }})
		<-time.After(time.Hour + time.Minute)
		_, reads := table.Counts()
		require.LessOrEqual(t, reads, 2*61*60)
	})
}
