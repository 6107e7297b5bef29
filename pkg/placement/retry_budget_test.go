package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A service fails half of its calls. Each failure is repeated, the repeats fail as well,
// and the service gets far more calls than its callers make.
func TestBudgetBoundsRepeats(t *testing.T) {
	b := new(Budget)
	b.Set(0.2, 40, 10*time.Second)
	now := time.Unix(0, 0)
	for range 100 {
		b.Request("app", now)
	}
	repeats := 0
	for range 100 {
		if b.Repeat("app", 4, now) {
			repeats++
		}
	}
	require.Equal(t, 21, repeats, "0.7 of a fifth of 100 and a quarter of 40")
	require.True(t, b.Repeat("other", 4, now), "services are counted apart")
	require.True(t, b.Repeat("app", 4, now.Add(11*time.Second)), "a window later the past is forgotten")
}
