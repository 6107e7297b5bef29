package config_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// A watcher was away for longer than the history. It must be told so: a silent
// restart from the oldest change that is left would hide the ones before it.
func TestEventsResumeOrSayGone(t *testing.T) {
	ctx := context.Background()
	table := new(platformtest.Table)
	store := config.NewStore(table, config.StoreOptions{History: 4})
	for i := range 10 {
		mustWrite(t, store, putOrg(fmt.Sprintf("op-%d", i), "north", float64(i+1)))
	}
	events, err := store.Events(ctx, 7)
	require.NoError(t, err)
	require.Len(t, events, 3)
	require.EqualValues(t, 8, events[0].Version)
	require.Equal(t, "op-7", events[0].OpID)
	require.Equal(t, resource.ActionUpdate, events[0].Changes[0].Action)

	for _, from := range []uint64{0, 3, 11} {
		_, err = store.Events(ctx, from)
		require.ErrorIs(t, err, config.ErrGone, "from %d", from)
	}
	events, err = store.Events(ctx, 10)
	require.NoError(t, err)
	require.Empty(t, events)
	require.Equal(t, 1+3*4, table.Len(), "the head, and three rows for each version of the history")
}
