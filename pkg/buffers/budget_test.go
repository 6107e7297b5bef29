package buffers

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that leaves a small host no room for one large event, or lets buffers fill it.
func TestLimitIsAShareOfTheMemory(t *testing.T) {
	require.EqualValues(t, 9<<20, LimitFor(144<<20))
	require.EqualValues(t, 4<<20, LimitFor(16<<20))
	require.EqualValues(t, DefaultLimit, LimitFor(0))
}

// Guards against usual answers that find no room while others have taken all of it.
func TestUsualAnswersNeedNoBudget(t *testing.T) {
	b := NewBudget(1 << 20)
	full, usual := b.Lease(), b.Lease()
	require.True(t, full.Hold(FreeBytes+1<<20))
	require.True(t, usual.Hold(FreeBytes))
	require.False(t, usual.Hold(FreeBytes+1))
	full.Release()
	require.True(t, usual.Hold(FreeBytes+1))
}

// Guards against a refused lease that gives back or keeps more than it took.
func TestLeasesGiveBackWhatTheyTook(t *testing.T) {
	b := NewBudget(1 << 20)
	one, two := b.Lease(), b.Lease()
	require.True(t, one.Hold(FreeBytes+600<<10))
	require.False(t, two.Hold(FreeBytes+600<<10))
	require.True(t, two.Hold(FreeBytes+400<<10))
	require.False(t, one.Hold(FreeBytes+800<<10))
	require.True(t, one.Hold(FreeBytes+100<<10))
	require.EqualValues(t, 500<<10, b.Used())
	one.Release()
	one.Release()
	two.Release()
	require.Zero(t, b.Used())
}

// Guards against requests that together hold more than the limit, or leave some of it taken.
func TestBudgetHoldsUnderConcurrentUse(t *testing.T) {
	b := NewBudget(1 << 20)
	var users sync.WaitGroup
	for seed := range uint64(8) {
		users.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			l := b.Lease()
			defer l.Release()
			for range 10_000 {
				if l.Hold(random.Int64N(256<<10)) && l.taken > b.Limit() {
					t.Error("holds more than the limit")
				}
				if b.Used() > b.Limit() {
					t.Error("all hold more than the limit")
				}
			}
		})
	}
	users.Wait()
	require.Zero(t, b.Used())
}

// Guards against bodies that fill a small host, or of which none of the usual maximum fits.
func TestBodyLimitIsAShareOfTheMemory(t *testing.T) {
	require.EqualValues(t, 27<<20, BodyLimitFor(144<<20))
	require.EqualValues(t, 8<<20, BodyLimitFor(16<<20))
	require.EqualValues(t, DefaultBodyLimit, BodyLimitFor(0))
}
