package soak_test

import (
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/soak"
)

// Guards against requests at an upstream that left while a router was cut off from the store and its
// peers: the router took the missing entry for a lapse.
func TestADepartureBehindACutIsKnownWithTheNextList(t *testing.T) {
	bin := os.Getenv(devfleet.BinEnv)
	require.NotEmpty(t, bin, devfleet.BinEnv)
	sent, late, err := soak.Departure(context.Background(), soak.Small(bin, t.TempDir(), 33))
	require.NoError(t, err)
	require.Positive(t, sent)
	require.Zero(t, late, "of %d requests ran at an upstream that is off the list", sent)
}
