package gatewayd

import (
	"github.com/flamingowind/flamingowind/internal/listening"
	"github.com/flamingowind/flamingowind/pkg/admission"
)

// callersReceiveBuffer fits usual requests. Connections with a longer body get a larger one once there is memory for the body.
const callersReceiveBuffer = 12 << 10

// callersSocket returns the limits for callers' connections.
func callersSocket(l LimitSettings) listening.Limits {
	return listening.Limits{Backlog: admission.Backlog(l.LinkMbps, l.MemoryMiB), ReceiveBuffer: callersReceiveBuffer}
}

// otherSockets are the limits of the other endpoints.
var otherSockets = map[string]listening.Limits{
	peersEndpoint:     {Backlog: 1024, ReceiveBuffer: 32 << 10},
	entriesEndpoint:   {Backlog: 1024, ReceiveBuffer: 4 << 10},
	readinessEndpoint: {Backlog: 64, ReceiveBuffer: 4 << 10},
	metricsEndpoint:   {Backlog: 64, ReceiveBuffer: 4 << 10},
}
