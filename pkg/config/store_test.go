package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

func org(name string, weight float64) *resource.Organisation {
	return &resource.Organisation{Meta: resource.Meta{Name: name}, Weight: weight}
}

func putOrg(id, name string, weight float64) config.Change {
	return config.Change{OpID: id, Ops: []resource.Op{resource.PutOp(org(name, weight))}}
}

func mustWrite(t *testing.T, s *config.Store, c config.Change) config.Result {
	t.Helper()
	r, err := s.Write(context.Background(), c)
	require.NoError(t, err)
	return r
}

// Two operators apply at the same time, each its own organisations, while every third
// answer of the table is lost. An organisation that was accepted is missing later:
// the second write was worked out from a snapshot from before the first.
func TestRacingWritersLoseNothing(t *testing.T) {
	table := new(platformtest.Table)
	random := rand.New(rand.NewPCG(1, 2))
	table.Lose(func() bool { return random.IntN(3) == 0 })
	const writers, writes = 2, 200
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			// A lost round is another's write, so writers*writes rounds always suffice.
			store := config.NewStore(table, config.StoreOptions{Attempts: writers*writes + 1})
			for i := range writes {
				name := fmt.Sprintf("org-%d-%d", w, i)
				_, err := store.Write(context.Background(), putOrg("op-"+name, name, 1))
				if err != nil {
					t.Errorf("write %s: %v", name, err)
				}
			}
		})
	}
	wg.Wait()
	snap, err := config.NewStore(table, config.StoreOptions{}).Load(context.Background())
	require.NoError(t, err)
	require.Len(t, snap.Organisations, writers*writes)
	require.EqualValues(t, writers*writes, snap.Version, "one version for each write")
}

// Two operators change one organisation that both have read. Both are told that
// their change holds: the second one overwrote the first unseen.
func TestStaleWriteIsRefusedWithTheCurrentState(t *testing.T) {
	store := config.NewStore(new(platformtest.Table), config.StoreOptions{})
	mustWrite(t, store, putOrg("a", "north", 1))
	first, second := org("north", 2), org("north", 3)
	first.Version, second.Version = 1, 1
	mustWrite(t, store, config.Change{OpID: "b", Ops: []resource.Op{resource.PutOp(first)}})
	_, err := store.Write(context.Background(), config.Change{OpID: "c", Ops: []resource.Op{resource.PutOp(second)}})
	require.ErrorIs(t, err, config.ErrConflict)
	var conflict *config.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.EqualValues(t, 2, conflict.Version)
	require.EqualValues(t, 2, conflict.Stale.Current.(*resource.Organisation).Weight)
}

// The table loses the answer of a write that took effect, and the operator's client
// also gives up; it sends the write again. It is told of a conflict with itself, or
// the change is made twice.
func TestWriteSentAgainIsRecognised(t *testing.T) {
	table := new(platformtest.Table)
	store := config.NewStore(table, config.StoreOptions{})
	change := putOrg("op-1", "north", 1)
	zero := uint64(0)
	change.Ops[0].Expect = &zero
	// From the lost answer on the table is out: the writer can't read back.
	table.LoseNextAndGoDown()
	_, err := store.Write(context.Background(), change)
	require.ErrorIs(t, err, config.ErrUndecided)
	table.SetDown(false)
	again := mustWrite(t, store, change)
	require.True(t, again.Replayed)
	require.EqualValues(t, 1, again.Version)

	other := putOrg("op-1", "south", 1)
	_, err = store.Write(context.Background(), other)
	require.ErrorIs(t, err, config.ErrOpReused)
}

// The table is out before anything was sent. The operator must read "not accepted",
// and find nothing of the change once the table is back.
func TestOutageAcceptsNothing(t *testing.T) {
	table := new(platformtest.Table)
	store := config.NewStore(table, config.StoreOptions{})
	mustWrite(t, store, putOrg("a", "north", 1))
	table.SetDown(true)
	_, err := store.Write(context.Background(), putOrg("b", "south", 1))
	require.ErrorIs(t, err, config.ErrNotAccepted)
	table.SetDown(false)
	snap, err := store.Load(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 1, snap.Version)
	require.Len(t, snap.Organisations, 1)
}

func TestApplyingTwiceMakesNoVersion(t *testing.T) {
	store := config.NewStore(new(platformtest.Table), config.StoreOptions{})
	mustWrite(t, store, putOrg("a", "north", 1))
	second := mustWrite(t, store, putOrg("b", "north", 1))
	require.EqualValues(t, 1, second.Version)
	require.Empty(t, second.Deltas)
}
