package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/telemetry"
	"github.com/flamingowind/flamingowind/platform"
)

// Guards against a router without a bound on bodies, or whose gauges show those of responses for requests.
func TestMemoryThatIsHeldIsBoundedAndReported(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	pools := forward.NewPools("X-Id")
	p := &Process{metrics: &telemetry.Metrics{Scope: scope}, pools: pools, gateway: gateway.New(gateway.Settings{}, gateway.Dependencies{Dialect: platform.Dialect{}, Pools: pools}),
		connLimits: newConnLimits(LimitSettings{MemoryMiB: 144}, scope, nil)}
	p.limitMemory(144 << 20)
	body, response := p.gateway.Bodies().Lease(), pools.Buffers().Lease()
	require.True(t, body.Hold(buffers.FreeBytes+5<<20))
	require.True(t, response.Hold(buffers.FreeBytes+2<<20))
	require.False(t, body.Hold(buffers.FreeBytes+28<<20))
	head := p.connLimits.heads.Lease()
	require.True(t, head.Hold(buffers.FreeBytes+3<<20))
	p.reportMemory()
	gauges := scope.Snapshot().Gauges()
	require.EqualValues(t, 3<<20, gauges["memory_held_bytes+of=heads"].Value())
	require.EqualValues(t, 9<<20, gauges["memory_held_limit_bytes+of=heads"].Value())
	require.EqualValues(t, 5<<20, gauges["memory_held_bytes+of=requests"].Value())
	require.EqualValues(t, 2<<20, gauges["memory_held_bytes+of=responses"].Value())
	require.EqualValues(t, 27<<20, gauges["memory_held_limit_bytes+of=requests"].Value())
	require.EqualValues(t, 9<<20, gauges["memory_held_limit_bytes+of=responses"].Value())
}
