package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against answers without end that change with anything but the seed, or change the other faults.
func TestPlansOfEndlessAnswersFollowFromTheirSeeds(t *testing.T) {
	o := Small("", "", 7).Grown(12)
	first := planEndless(o)
	require.Equal(t, first, planEndless(o))
	require.Len(t, first, o.Faults/endlessEvery)
	for _, f := range first {
		require.Contains(t, ofEndless, f.kind)
		require.Less(t, f.index, o.Upstreams)
	}
}
