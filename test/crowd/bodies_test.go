package crowd_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// senders send bodies of longBytes, which the configuration allows, for sendFor to engines that read slowRate
	// bytes a second. Beside them come requests of the usual size.
	senders   = 60
	longBytes = 4_000_000
	slowRate  = 2_000_000
	sendFor   = 5 * time.Second
	usualOnes = 20
	// comeBack is how long callers wait after a refusal.
	comeBack = time.Second
	// answerIn is longer than any route's timeout.
	answerIn = 10 * time.Second
)

// What a router holds for engines that read slowly makes it exceed its host's memory, and it ends with all that it
// serves.
func TestRouterStaysWithinItsMemoryWhileEnginesReadSlowly(t *testing.T) {
	for _, memoryMiB := range []int{134, 144, 284} {
		t.Run(fmt.Sprint(memoryMiB), func(t *testing.T) {
			s := newStage(t, memoryMiB)
			for _, e := range s.engines {
				e.Behave(platformtest.Behaviour{ReadRate: slowRate})
			}
			var long, usual tally
			ctx, end := context.WithTimeout(t.Context(), sendFor)
			defer end()
			var all sync.WaitGroup
			all.Go(func() { long.send(ctx, s.callers, "long", senders, longBytes) })
			all.Go(func() { usual.send(ctx, s.callers, "usual", usualOnes, bodyBytes) })
			all.Wait()
			used := s.peakMemory(t)
			t.Logf("%d MiB of %d; long bodies %+v, usual ones %+v", used, memoryMiB, long.outcome, usual.outcome)
			require.LessOrEqual(t, used, memoryMiB)
			require.Empty(t, s.passedOn(append(long.unanswered, usual.unanswered...)), "ended without an answer")
			require.Positive(t, long.served)
			require.Positive(t, usual.served)
			require.Positive(t, long.refused, "the bodies fit all")
		})
	}
}

// tally counts what callers got.
type tally struct {
	mu sync.Mutex
	outcome
	// unanswered are the requests that ended before their time was over, without a whole answer.
	unanswered []string
}

// send has callers that send one request after the other until ctx ends.
func (c *tally) send(ctx context.Context, addr, name string, callers, size int) {
	body := strings.Repeat("x", size)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			caller := platformtest.NewCaller()
			defer caller.Close()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%s-%d-%d", name, i, n)
				began := time.Now()
				answer := caller.Send(context.Background(), platformtest.Call{ID: id, Addr: addr, Path: platformtest.PathOnce, Key: key, Body: body, Wait: answerIn})
				c.count(id, answer, time.Since(began))
				if answer.Status != 200 {
					waiting.For(ctx, comeBack)
				}
			}
		})
	}
	all.Wait()
}

func (c *tally) count(id string, a platformtest.Answer, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case a.Status == 200 && a.Whole:
		c.served++
	case a.Refused:
		c.refused++
	case (a.Status == 0 || !a.Whole) && took < platformtest.RouteTimeout*time.Millisecond:
		c.lost++
		c.unanswered = append(c.unanswered, id)
	}
}

// passedOn gives those of the requests that reached an engine.
func (s *stage) passedOn(ids []string) []string {
	var list []string
	for _, e := range s.engines {
		for _, a := range e.Received() {
			if slices.Contains(ids, a.ID) {
				list = append(list, a.ID)
			}
		}
	}
	return list
}

// peakMemory is the largest resident memory of the router so far, in MiB.
func (s *stage) peakMemory(t *testing.T) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.router.PID()))
	require.NoError(t, err, "the router has ended")
	_, value, ok := strings.Cut(string(data), "VmHWM:")
	require.True(t, ok, "the router has ended")
	kib, err := strconv.Atoi(strings.Fields(value)[0])
	require.NoError(t, err)
	return kib >> 10
}
