package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneRouterIsOutOfStepInARun(t *testing.T) {
	o := Small("", "", 1)
	o.OutOfStep = true
	for seed := range uint64(100) {
		o.Seed = seed
		list := planAll(o)
		require.Len(t, list, 1)
		require.Less(t, list[0].index, o.Routers)
		require.Less(t, list[0].at, 2*time.Second)
		require.True(t, leastOut <= list[0].lasts && list[0].lasts < mostOut)
		require.NotNil(t, ofOutOfStep[list[0].kind])
	}
}

// Guards against a scenario whose callers don't reach the router that is out of step.
func TestHalfOfTheResumedStreamsGoToTheRouterOutOfStep(t *testing.T) {
	w, err := newWorld(Small("", t.TempDir(), 1))
	require.NoError(t, err)
	defer w.close()
	random := rand.New(rand.NewPCG(1, 1))
	require.Equal(t, "other", w.behindOr([]string{"other"}, random))
	w.behind.Store(w.routers[1])
	there := 0
	for range 1000 {
		if w.behindOr([]string{"other"}, random) == w.routers[1].callers.Addr() {
			there++
		}
	}
	require.InDelta(t, 500, there, 100)
}
