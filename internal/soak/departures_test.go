package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against departures that change with anything but the seed, or change the other faults.
func TestPlansOfDeparturesFollowFromTheirSeeds(t *testing.T) {
	o := Small("", "", 7).Grown(12)
	first := planDepartures(o)
	require.Equal(t, first, planDepartures(o))
	require.Len(t, first, o.Faults/departuresEvery)
	for _, f := range first {
		require.Contains(t, ofDepartures, f.kind)
		require.Less(t, f.index, o.Upstreams)
	}
}
