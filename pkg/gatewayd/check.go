package gatewayd

import (
	"fmt"
	"net"
	"strings"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/gateway"
)

// maxConnectMs bounds the time of a new connection: one that takes a second has failed.
const maxConnectMs = 1000

// Check returns all faults of the settings in one error.
func (s Settings) Check() error {
	var faults []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	require(s.Router.Name != "", "router.name is missing")
	for key, addr := range map[string]string{
		"listen.callers": s.Listen.Callers, "listen.readiness": s.Listen.Readiness,
		"listen.peers": s.Listen.Peers, "listen.entries": s.Listen.Entries, "store.addr": s.Store.Addr,
	} {
		require(isAddr(addr), "%s: %q is not an IP:port address", key, addr)
	}
	require(s.Advertise.Callers == "" || isAddr(s.Advertise.Callers), "advertise.callers: %q is not an IP:port address", s.Advertise.Callers)
	require(s.Advertise.Peers == "" || isAddr(s.Advertise.Peers), "advertise.peers: %q is not an IP:port address", s.Advertise.Peers)
	require(s.Listen.Handover == "" || isAddr(s.Listen.Handover), "listen.handover: %q is not an IP:port address", s.Listen.Handover)
	require(s.Listen.Metrics == "" || isAddr(s.Listen.Metrics), "listen.metrics: %q is not an IP:port address", s.Listen.Metrics)
	require(s.Limits.MemoryMiB >= 0, "limits.memoryMiB must not be negative")
	require(s.Limits.Cores >= 0, "limits.cores must not be negative")
	require(s.Limits.LinkMbps >= 0, "limits.linkMbps must not be negative")
	require(s.Limits.Descriptors >= 0, "limits.descriptors must not be negative")
	require(s.Limits.KeptConnections > 0, "limits.keptConnections must be positive")
	require(s.Repeats.Ratio >= 0 && s.Repeats.Slack >= 0, "repeats: ratio and slack must not be negative")
	require(s.Repeats.WindowSeconds > 0, "repeats.windowSeconds must be positive")
	require(s.Streams.EventDelayMs >= 0, "streams.eventDelayMs must not be negative")
	require(s.Streams.LeavingUpstreamMs >= 0, "streams.leavingUpstreamMs must not be negative")
	require(s.Warmup.Over >= 0 && s.Warmup.Slack >= 0, "warmup: over and slack must not be negative")
	require(s.Leaving.GraceSeconds > 0, "leaving.graceSeconds must be positive")
	require(s.Engines.PrefillTokensPerMs > 0, "engines.prefillTokensPerMs must be positive")
	require(s.Bookings.RunShare >= 0 && s.Bookings.RunShare <= 1, "bookings.runShare must be between 0 and 1")
	require(s.Upstreams.ConnectMs >= 0 && s.Upstreams.ConnectMs <= maxConnectMs, "upstreams.connectMs must be from 0 to %d", maxConnectMs)
	require(s.Upstreams.MaxHeadKiB >= forward.MinMaxHead>>10 && s.Upstreams.MaxHeadKiB <= forward.MaxMaxHead>>10,
		"upstreams.maxHeadKiB must be between %d and %d", forward.MinMaxHead>>10, forward.MaxMaxHead>>10)
	require(s.Entries.KeepSeconds > 0, "entries.keepSeconds must be positive")
	for _, name := range s.Trial.Off {
		require(mechanism(new(gateway.DisabledMechanisms), name) != nil, "trial.off: %q is not a known mechanism", name)
	}
	_, err := log.ParseLevel(s.Log.Level)
	require(err == nil, "log.level: %q is not a log level", s.Log.Level)
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "; "))
}

func isAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
