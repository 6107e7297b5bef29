package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// All callers of an organisation come to one small router, and it stands at 1.3. Another one, at a
// strong router, stands at 3.1: in six seconds 5.2 million tokens against 2.3 million, less than
// half. Held to twice the other's standing, it would have been within reach.
func TestWhoIsFarAheadGivesWayMore(t *testing.T) {
	limits := func(ahead float64) placement.Limits {
		return Prompt(Ask{Objective: time.Second, Reading: 100 * time.Millisecond, Standing: placement.Standing{Share: 1.5, Full: true, Ahead: ahead}})
	}
	none, little, far := limits(0), limits(1.4), limits(6)
	require.Equal(t, none, little)
	require.Less(t, 20*far.Queue, none.Queue)
	require.Less(t, far.Harm, none.Harm/10)
	require.Zero(t, little.HeldBack)
	require.Equal(t, 1.0, far.HeldBack, "twice what another one gets is unfair")
	within := Ask{Objective: time.Second, Standing: placement.Standing{Share: 0.9, Ahead: 6}}
	require.Equal(t, Prompt(Ask{Objective: time.Second, Standing: placement.Standing{Share: 0.9}}), Prompt(within), "what is due is never held back")
}
