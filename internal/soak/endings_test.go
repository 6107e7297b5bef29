package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against endings that change with anything but the seed, or change the other faults.
func TestPlansOfEndingsFollowFromTheirSeeds(t *testing.T) {
	o := Small("", "", 7).Grown(12)
	first := planEndings(o)
	require.Equal(t, first, planEndings(o))
	require.Len(t, first, o.Faults/endingsEvery)
	for _, f := range first {
		require.Contains(t, ofEndings, f.kind)
		require.Less(t, f.index, o.Upstreams)
	}
}
