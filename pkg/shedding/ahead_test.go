package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Guards against limits that follow only an organisation's own share. All callers of one
// organisation use a small router, and it gets 1.3 times its due. Another one, at a larger router,
// gets 3.1 times its due: 5.2 million tokens against 2.3 million in six seconds.
func TestLimitsAreStricterFarAheadOfOthers(t *testing.T) {
	limits := func(ahead float64) placement.Limits {
		return PromptLimits(Request{Objective: time.Second, Prefill: 100 * time.Millisecond, Standing: placement.Standing{ShareRatio: 1.5, AtCapacity: true, Ahead: ahead}})
	}
	none, little, far := limits(0), limits(1.4), limits(6)
	require.Equal(t, none, little)
	require.Less(t, 20*far.Queue, none.Queue)
	require.Less(t, far.Harm, none.Harm/10)
	require.Zero(t, little.ShedFraction)
	require.Equal(t, 1.0, far.ShedFraction, "everything is shed at twice what another one gets")
	within := Request{Objective: time.Second, Standing: placement.Standing{ShareRatio: 0.9, Ahead: 6}}
	require.Equal(t, PromptLimits(Request{Objective: time.Second, Standing: placement.Standing{ShareRatio: 0.9}}), PromptLimits(within), "what is due is never shed")
}
