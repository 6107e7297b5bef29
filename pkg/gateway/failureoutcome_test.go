package gateway

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against suspending healthy upstreams. A router that has a tenth of a core and gets three
// times the load that it can serve doesn't see responses before its own timers expire, so it suspends
// all upstreams within 100 ms and refuses every request for seconds:
//
//	instance_suspended for_ms=300 error="connect: dial tcp 127.0.0.1:39455: i/o timeout"
//	instance_suspended for_ms=300 error="connect: dial tcp 127.0.0.1:46445: i/o timeout"
func TestTimeoutsOfACPUStarvedRouterSuspendNoUpstream(t *testing.T) {
	env := newTestEnv(t)
	usableAfter := func(id upstream.ID, err error) bool {
		in := &upstream.Instance{ID: id}
		env.gateway.observeOutcome(in, env.gateway.failureOutcome(err), err)
		_, ok := env.gateway.health.Usable(in.Life(), time.Now())
		return ok
	}
	env.cpuStarved = true
	require.True(t, usableAfter("late", os.ErrDeadlineExceeded))
	require.False(t, usableAfter("reset", syscall.ECONNRESET), "a reset doesn't depend on timers")
	require.False(t, usableAfter("unreachable", syscall.ETIMEDOUT), "the kernel's timers don't depend on the router's CPU")
	env.cpuStarved = false
	require.False(t, usableAfter("silent", os.ErrDeadlineExceeded))
}
