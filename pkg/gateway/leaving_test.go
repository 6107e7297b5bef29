package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against a stream that breaks off though the last other upstream of its software version still
// serves, and against new requests at an upstream that leaves.
func TestOnlyStreamsThatGoOnReachUpstreamsThatLeave(t *testing.T) {
	env := newTestEnv(t)
	env.streams.SetLeaveLimit(2 * time.Second)
	env.startVersions(2, "v1", "v2", "v1")
	env.instances[2].State = upstream.Draining
	env.catalog.Replace(env.instances, 3, time.Now(), "test")
	status, body, _ := env.get("/resume/")
	require.Equal(t, 200, status)
	require.Contains(t, body, "data: v1 t4")
	env.instances[1].State, env.instances[0].State = upstream.Unusable, upstream.Unusable
	env.catalog.Replace(env.instances, 4, time.Now(), "test")
	status, _, _ = env.get("/resume/")
	require.Equal(t, 503, status)
}
