package orders

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Two operators declare different models for one engine at the same moment, at two
// routers: first under two names, then over the same state of one order, round after
// round. One of them wins, the other is told; the engine ends with the winner's model
// and never gets the loser's.
func TestRacingOrdersEndWithTheWinners(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, plan(1, true, nil))
	none := uint64(0)
	first, second := f.OrderFor(0, "first"), f.OrderFor(0, "second")
	second.Name += "-of-another-operator"
	winner, written := race(t, f, "names", operator.CodeInvalid, &none, first, second)
	wonBy := []*resource.Order{first, second}[winner]
	models := []string{wonBy.Model}
	f.WaitModel(0, wonBy.Model)

	const rounds = 4
	for round := range rounds {
		expect := written.Changes[0].After.Resource.(*resource.Order).Version
		pair := [2]resource.Order{*wonBy, *wonBy}
		pair[0].Model, pair[1].Model = fmt.Sprintf("first-%d", round), fmt.Sprintf("second-%d", round)
		winner, written = race(t, f, fmt.Sprint(round), operator.CodeConflict, &expect, &pair[0], &pair[1])
		models = append(models, pair[winner].Model)
		f.WaitModel(0, pair[winner].Model)
	}
	f.WaitLooks(0, looked)
	var got []string
	for _, o := range f.OrderJournal(0).Orders {
		got = append(got, o.Model)
	}
	require.Equal(t, models, got)
}

// race sends both orders at once and gives the winner; the other is refused with code.
func race(t *testing.T, f *fleettest.Fleet, name string, code operator.Code, expect *uint64, orders ...*resource.Order) (winner int, written operator.Written) {
	t.Helper()
	var all sync.WaitGroup
	answers := make([]operator.Written, len(orders))
	failures := make([]error, len(orders))
	for i, o := range orders {
		op := fleettest.PutOrders(fmt.Sprintf("race-%s-%d", name, i), o)
		op.Put[0].Expect = expect
		all.Go(func() { answers[i], failures[i] = f.Write(f.Ctx, i, op) })
	}
	all.Wait()
	if failures[0] != nil {
		winner = 1
	}
	require.NoError(t, failures[winner])
	var failed *operator.Failure
	require.ErrorAs(t, failures[1-winner], &failed)
	require.Equal(t, code, failed.Code)
	return winner, answers[winner]
}
