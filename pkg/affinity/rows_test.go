package affinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testRowLife = 30 * time.Second

// Guards against rows that pile up in the store, and against calls of their own for each of them.
func TestOwnRowsAreRemovedWithLaterWritesOrAtOnceInTheEnd(t *testing.T) {
	r, now := NewRows("a"), time.Unix(1000, 0)
	for range 4 {
		r.Written([]string{r.NextKey()}, now, testRowLife)
		now = now.Add(time.Second)
	}
	require.Empty(t, r.Removable(now, true, testRowLife))
	now = now.Add(testRowLife - 3*time.Second)
	require.Empty(t, r.Removable(now, false, testRowLife), "the others are removed with these")
	old := r.Removable(now, true, testRowLife)
	require.Equal(t, []string{"a-00000001", "a-00000002"}, old)
	r.Removed(old)
	now = now.Add(2 * time.Second)
	require.Equal(t, []string{"a-00000003", "a-00000004"}, r.Removable(now, false, testRowLife))
}

// Guards against calls that remove more rows than the store takes at once.
func TestRemovalsAreBoundedByCall(t *testing.T) {
	r, now := NewRows("a"), time.Unix(1000, 0)
	for range 3 * maxRemoved {
		r.Written([]string{r.NextKey()}, now, testRowLife)
	}
	left := 3 * maxRemoved
	for now = now.Add(testRowLife); left > 0; {
		gone := r.Removable(now, false, testRowLife)
		require.Len(t, gone, maxRemoved)
		r.Removed(gone)
		left -= len(gone)
	}
	require.Empty(t, r.Removable(now, false, testRowLife))
}

// Guards against rows that stay in the store for good: those of routers that never come back, of writes whose answer was
// lost, and of other writers.
func TestRowsThatNobodyElseRemovesAreFound(t *testing.T) {
	f := newFixture()
	young, err := EncodeBatch([]Record{{Key: 1, Version: 1}}, f.reading(), f.now)
	require.NoError(t, err)
	f.now = f.now.Add(testRowLife / 2)
	r := NewRows("b")
	require.False(t, r.SweepDue(f.now), "others do it")
	r.SetSweeper(true, f.now, testRowLife)
	require.False(t, r.SweepDue(f.now))
	f.now = f.now.Add(testRowLife / 4)
	s := r.Sweep(f.reading(), testRowLife)
	require.NoError(t, s.See("a-1", young))
	require.Error(t, s.See("odd", []byte("what is this")))
	s.End(f.now)
	require.Equal(t, []string{"odd"}, r.Removable(f.now, false, testRowLife))
	r.Removed([]string{"odd"})
	require.False(t, r.SweepDue(f.now))
	f.now = f.now.Add(testRowLife)
	require.True(t, r.SweepDue(f.now), "a row was left")
	s = r.Sweep(f.reading(), testRowLife)
	require.NoError(t, s.See("a-1", young))
	s.End(f.now)
	require.Equal(t, []string{"a-1"}, r.Removable(f.now, false, testRowLife))
	r.Removed([]string{"a-1"})
	require.False(t, r.SweepDue(f.now.Add(time.Hour)), "none is left")
	r.Unanswered(f.now, testRowLife)
	require.True(t, r.SweepDue(f.now.Add(testRowLife)))
}
