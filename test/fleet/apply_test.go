package fleet

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

const racedWrites = 200

// Two operators raise the same organisation's weight by one, 200 times each, at two
// routers, and a third of the table's answers is lost after the write took effect.
// Each conflict must have exactly one winner: a write that got lost would leave the
// weight too low, one that was done twice too high.
func TestRacingOperatorsLoseNoWrite(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, fleettest.Plan(3, 1, 1))
	f.SetFaults(platform.Faults{TableLoseAnswers: 0.33})
	name := f.Ready.Organisations[0].Name
	winners := make([][]win, 2)
	group, ctx := errgroup.WithContext(f.Ctx)
	for i := range winners {
		group.Go(func() (err error) {
			winners[i], err = raise(ctx, f, i, name)
			return err
		})
	}
	require.NoError(t, group.Wait())
	f.SetFaults(platform.Faults{})
	org, err := f.Organisation(f.Ctx, 2, name)
	require.NoError(t, err)
	require.Equal(t, 1.0+2*racedWrites, org.Weight)
	requireOneWinnerEach(t, append(winners[0], winners[1]...))
}

// win is an accepted write: the resource version that it replaced, and its own.
type win struct{ replaced, version uint64 }

// raise makes racedWrites writes that each rest on what was read.
func raise(ctx context.Context, f *fleettest.Fleet, router int, name string) ([]win, error) {
	var won []win
	for try := 0; len(won) < racedWrites; try++ {
		org, err := f.Organisation(ctx, router, name)
		if err != nil {
			return nil, err
		}
		next := *org
		next.Weight++
		op := operator.Apply{
			OpID: fmt.Sprintf("raise-%d-%d", router, try),
			Put:  []operator.ApplyItem{{Resource: resource.Document{Resource: &next}}},
		}
		written, err := settle(ctx, f, router, op)
		var failed *operator.Failure
		switch {
		case err == nil:
			won = append(won, win{org.Version, written.Version})
		case errors.As(err, &failed) && failed.Code == operator.CodeConflict:
		default:
			return nil, err
		}
	}
	return won, nil
}

// settle sends op until it is accepted or refused for good.
func settle(ctx context.Context, f *fleettest.Fleet, router int, op operator.Apply) (operator.Written, error) {
	for {
		written, err := f.Write(ctx, router, op)
		if !fleettest.Unsettled(err) || ctx.Err() != nil {
			return written, err
		}
	}
}

func requireOneWinnerEach(t *testing.T, wins []win) {
	t.Helper()
	replaced, versions := make(map[uint64]bool), make(map[uint64]bool)
	for _, w := range wins {
		require.False(t, replaced[w.replaced], "version %d was replaced twice", w.replaced)
		require.False(t, versions[w.version], "version %d was made twice", w.version)
		replaced[w.replaced], versions[w.version] = true, true
	}
}
