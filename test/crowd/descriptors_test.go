package crowd_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// descriptors is how many the router may have open; a request takes up to two.
	descriptors = 100
	// manyCallers take more than there are, for crowdFor.
	manyCallers = 150
	crowdFor    = 5 * time.Second
)

// A router that has used up its descriptors ends, stops accepting for good, or leaves callers without an answer whose
// requests it has passed on.
func TestRouterOutlivesTheLackOfDescriptors(t *testing.T) {
	s := newStage(t, 284)
	for _, e := range s.engines {
		e.Behave(platformtest.Behaviour{Delay: 300 * time.Millisecond})
	}
	require.NoError(t, unix.Prlimit(s.router.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil))
	var all tally
	ctx, end := context.WithTimeout(t.Context(), crowdFor)
	defer end()
	peak := 0
	var watching sync.WaitGroup
	watching.Go(func() { peak = s.peakDescriptors(ctx, t) })
	all.send(ctx, s.callers, "many", manyCallers, bodyBytes)
	watching.Wait()
	t.Logf("%d of %d descriptors; %+v", peak, descriptors, all.outcome)
	require.False(t, s.router.Ended())
	require.GreaterOrEqual(t, peak, descriptors-1, "descriptors were left")
	require.Positive(t, all.served)
	require.Empty(t, s.passedOn(all.unanswered), "ended without an answer")
	caller := platformtest.NewCaller()
	defer caller.Close()
	require.Eventually(t, func() bool {
		a := caller.Send(t.Context(), platformtest.Call{ID: "after", Addr: s.callers, Path: platformtest.PathCall, Key: key, Wait: time.Second})
		return a.Status == 200
	}, readyIn, 50*time.Millisecond)
}

// peakDescriptors is the largest number of descriptors that the router has open until ctx ends.
func (s *stage) peakDescriptors(ctx context.Context, t *testing.T) int {
	peak := 0
	for waiting.For(ctx, 10*time.Millisecond) {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.router.PID()))
		require.NoError(t, err, "the router has ended")
		peak = max(peak, len(open))
	}
	return peak
}
