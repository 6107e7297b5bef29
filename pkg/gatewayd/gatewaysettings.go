package gatewayd

import "github.com/flamingowind/flamingowind/pkg/gateway"

// softMemoryShare is the part of the memory limit that is set as the runtime's soft limit. The rest
// is for the kernel's buffers, which count towards the limit as well.
const softMemoryShare = 0.7

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
