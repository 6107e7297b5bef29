package gateway

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// A router that gets a tenth of a core is asked for three times what it can serve. Its timers
// run out before it comes to see that upstreams have answered, so it leaves all of them alone
// and refuses everything for seconds, though each of them is well. Its log shows the same line
// for every upstream in the same tenth of a second:
//
//	instance_suspended for_ms=300 error="connect: dial tcp 127.0.0.1:39455: i/o timeout"
//	instance_suspended for_ms=300 error="connect: dial tcp 127.0.0.1:46445: i/o timeout"
func TestLateRouterBlamesNoUpstreamForItsOwnTimers(t *testing.T) {
	w := newWorld(t)
	usable := func(id upstream.ID, err error) bool {
		in := &upstream.Instance{ID: id}
		w.gateway.observe(in, w.gateway.blame(err), err)
		_, ok := w.gateway.health.Usable(in.Life(), time.Now())
		return ok
	}
	w.late = true
	require.True(t, usable("late", os.ErrDeadlineExceeded))
	require.False(t, usable("reset", syscall.ECONNRESET), "that is no matter of time")
	require.False(t, usable("dark", syscall.ETIMEDOUT), "the kernel's timers are never late")
	w.late = false
	require.False(t, usable("silent", os.ErrDeadlineExceeded))
}
