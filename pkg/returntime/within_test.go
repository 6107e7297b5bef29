package returntime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWithinAnObjective(t *testing.T) {
	const long = 4 * time.Second
	require.Equal(t, 150*time.Millisecond, Within(600*time.Millisecond, long))
	require.Equal(t, 250*time.Millisecond, Within(time.Second, long))
	require.Equal(t, long, Within(300*time.Millisecond, long), "it is over before a second attempt")
	require.Equal(t, long, Within(0, long), "not known")
	require.Equal(t, 400*time.Millisecond, Within(10*time.Second, 400*time.Millisecond), "no later than the load asks for")
	require.Equal(t, minDelay, Within(10*time.Second, time.Millisecond))
}
