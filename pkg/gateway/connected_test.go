package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// connectedInstances are the instances that the candidates of a request mark as connected.
func connectedInstances(env *testEnv) []upstream.ID {
	r := &request{route: &routing.Route{Kind: routing.Idempotent}, service: &routing.Service{Name: "app"}}
	list, _ := env.gateway.candidates(nil, r, time.Now())
	var connected []upstream.ID
	for _, c := range list {
		if c.Connected {
			connected = append(connected, c.Instance.ID)
		}
	}
	return connected
}

// Guards against connections that placement doesn't hear of, and against a setting of 0 or a switch that leaves the preference on.
func TestCandidatesTellWhereTheRouterIsConnected(t *testing.T) {
	env := newTestEnv(t)
	answer := func(rw http.ResponseWriter, _ *http.Request) { rw.Write([]byte("ok")) }
	env.startUpstreams(answer, answer)
	s := *env.gateway.settings.Load()
	set := func(cost time.Duration, off bool) {
		s.ConnectCost, s.Disabled.Connected = cost, off
		env.gateway.UpdateSettings(s)
	}
	set(3*time.Millisecond, false)
	require.Empty(t, connectedInstances(env), "a router that has just started")
	status, _, _ := env.get("/safe/x")
	require.Equal(t, http.StatusOK, status)
	env.waitIdle()
	require.Equal(t, []upstream.ID{"i0"}, connectedInstances(env))
	require.Equal(t, 3*time.Millisecond, env.gateway.connectCost())
	set(3*time.Millisecond, true)
	require.Empty(t, connectedInstances(env))
	require.Zero(t, env.gateway.connectCost())
	set(0, false)
	require.Empty(t, connectedInstances(env))
}
