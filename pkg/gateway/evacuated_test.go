package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sending requests to an evacuated zone: they go to other zones, are refused as not run
// if there is none, and return once the zone is restored.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	env := newTestEnv(t)
	served := make([]int, 2)
	countingHandler := func(i int) http.HandlerFunc {
		return func(rw http.ResponseWriter, _ *http.Request) { served[i]++ }
	}
	env.startUpstreams(countingHandler(0), countingHandler(1))
	nearZone := env.catalog.Instances().Get("i0").Zone
	require.Equal(t, http.StatusOK, env.status())
	require.Equal(t, []int{1, 0}, served, "the upstream in the router's zone is preferred")

	env.catalog.ReplaceEvacuations([]string{nearZone}, 5, "test")
	for range 5 {
		require.Equal(t, http.StatusOK, env.status())
	}
	require.Equal(t, []int{1, 5}, served)

	env.catalog.ReplaceEvacuations([]string{nearZone, "far"}, 6, "test")
	require.Equal(t, http.StatusServiceUnavailable, env.status())
	require.Equal(t, []int{1, 5}, served)

	env.catalog.ReplaceEvacuations(nil, 7, "test")
	require.Equal(t, http.StatusOK, env.status())
	require.Equal(t, []int{2, 5}, served)
}

// Guards against sending a request that was placed just before the evacuation and then waited for the CPU.
func TestAnEvacuationIsSeenJustBeforeARequestIsSent(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(func(http.ResponseWriter, *http.Request) {})
	in := env.catalog.Instances().Get("i0")
	require.True(t, env.catalog.StillPlaceable(in))
	env.catalog.ReplaceEvacuations([]string{in.Zone}, 5, "test")
	require.False(t, env.catalog.StillPlaceable(in))
}

// status returns the status of the response to an idempotent request.
func (env *testEnv) status() int {
	status, _, _ := env.get("/safe/", "X-Key", "k")
	return status
}
