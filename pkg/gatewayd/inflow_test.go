package gatewayd

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/placement"
)

// A peer's report says that endless work over the share is asked for, or a number that is none.
// Believed, it would leave no part of the room for anybody, and all such work would be refused
// while engines are idle.
func TestImplausibleInflowsAreIgnored(t *testing.T) {
	require.Equal(t, map[string]placement.Inflow{"llm": {Rate: 2 * time.Second, Unseen: time.Second, OverShare: 3}},
		decodeInflows(map[string]fleet.Inflow{"llm": {Rate: 2, Unseen: 1, OverShare: 3}}))
	for _, f := range []fleet.Inflow{
		{Rate: math.Inf(1)}, {Rate: math.NaN()}, {Rate: -1}, {Rate: 1, Unseen: math.NaN()}, {Rate: 1, Unseen: math.Inf(-1)},
		{Rate: 1, OverShare: math.Inf(1)}, {Rate: 1, OverShare: math.NaN()},
	} {
		require.Empty(t, decodeInflows(map[string]fleet.Inflow{"llm": f}), "%+v", f)
	}
	require.Zero(t, decodeInflows(map[string]fleet.Inflow{"llm": {Rate: 1, OverShare: -1e-12}})["llm"].OverShare, "what is taken out of a sum leaves a little")
}
