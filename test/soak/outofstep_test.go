package soak_test

import (
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/soak"
)

// Guards against streams that go on at another version at a router that stood still, or was cut off, as the version
// that began them joined.
func TestStreamsKeepTheirVersionAtARouterOutOfStep(t *testing.T) {
	bin := os.Getenv(devfleet.BinEnv)
	require.NotEmpty(t, bin, devfleet.BinEnv)
	o := soak.Small(bin, t.TempDir(), 9901).Grown(2)
	o.OutOfStep = true
	v, err := soak.Run(context.Background(), o)
	require.NoError(t, err)
	for _, f := range v.Findings {
		t.Error(f)
	}
	require.Positive(t, v.Streams.WentOn)
}
