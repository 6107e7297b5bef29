package gatewayd

import "github.com/flamingowind/flamingowind/pkg/gateway"

const (
	// softMemoryShare is the part of the memory limit that is set as the runtime's soft limit. The rest
	// is for the kernel's buffers, which count towards the limit as well.
	softMemoryShare = 0.7
	// programMemory is what the program's own code and data take, in bytes, which the runtime doesn't count.
	programMemory = 8 << 20
)

// softMemoryLimit returns the runtime's soft limit, in bytes, for a memory limit in MiB.
func softMemoryLimit(memoryMiB int) int64 {
	memory := int64(memoryMiB) << 20
	return int64(softMemoryShare * float64(max(memory/2, memory-programMemory)))
}

func gatewaySettings(s Settings) gateway.Settings {
	disabled := s.Trial.disabled()
	disabled.Bookings = disabled.Bookings || s.Bookings.RunShare == 0
	return gateway.Settings{
		Router: s.Router.Name, Zone: s.Router.Zone,
		PrefillTokensPerMs: s.Engines.PrefillTokensPerMs,
		FirstEvent:         millis(s.Engines.FirstEventMs),
		SlotTurn:           millis(s.Engines.SlotTurnMs),
		ConnectCost:        millis(s.Upstreams.ConnectMs),
		Disabled:           disabled,
		Cores:              s.Limits.Cores, MaxEventDelay: millis(s.Streams.EventDelayMs),
		RetryRatio: s.Repeats.Ratio, RetrySlack: s.Repeats.Slack,
		RetryWindow: seconds(s.Repeats.WindowSeconds),
		Grace:       seconds(s.Leaving.GraceSeconds),
	}
}
