package gatewayd

import (
	"bytes"
	"cmp"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/forward"
)

// Settings are a gateway's start-up settings.
type Settings struct {
	Router RouterSettings `yaml:"router"`
	Listen ListenSettings `yaml:"listen"`
	// Advertise is for hosts that are reached at other addresses than they listen on.
	Advertise AdvertiseSettings `yaml:"advertise"`
	Limits    LimitSettings     `yaml:"limits"`
	Store     StoreSettings     `yaml:"store"`
	Repeats   RepeatSettings    `yaml:"repeats"`
	Leaving   LeavingSettings   `yaml:"leaving"`
	Warmup    WarmupSettings    `yaml:"warmup"`
	Streams   StreamSettings    `yaml:"streams"`
	Engines   EngineSettings    `yaml:"engines"`
	Bookings  BookingSettings   `yaml:"bookings"`
	Upstreams UpstreamSettings  `yaml:"upstreams"`
	Log       LogSettings       `yaml:"log"`
	Entries   EntrySettings     `yaml:"entries"`
	Trial     TrialSettings     `yaml:"trial"`
}

// RouterSettings identify the router and its zone.
type RouterSettings struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// FirstStart is set when all routers start for the first time. They then take turns, so that
	// few of them register.
	FirstStart bool `yaml:"firstStart"`
}

// ListenSettings are addresses, each IP:port.
type ListenSettings struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Peers     string `yaml:"peers"`
	Entries   string `yaml:"entries"`
	// Handover accepts connections that other routers hand over; empty for none.
	Handover string `yaml:"handover"`
	// Metrics serves counters and histograms; empty for none.
	Metrics string `yaml:"metrics"`
	// Profile enables profiles of the process on the metrics address.
	Profile bool `yaml:"profile"`
}

// AdvertiseSettings are the addresses at which others reach the router, each IP:port; empty where
// it equals the address that the router listens on.
type AdvertiseSettings struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
}

// callers returns the address advertised to callers; peers returns the one for other routers.
func (s Settings) callers() string { return cmp.Or(s.Advertise.Callers, s.Listen.Callers) }

func (s Settings) peers() string { return cmp.Or(s.Advertise.Peers, s.Listen.Peers) }

// LimitSettings bound what the process uses.
type LimitSettings struct {
	MemoryMiB int `yaml:"memoryMiB"`
	// Cores is the CPU available to the router, in cores; 0 when it isn't known. Routers with more
	// cores carry more of the fleet's exchange of reports.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the speed of the host's link in each direction, in megabits a second; 0 when it
	// isn't known.
	LinkMbps float64 `yaml:"linkMbps"`
	// Descriptors is the number of descriptors that the process may have open; 0 for the limit that it was started with.
	Descriptors int `yaml:"descriptors"`
	// KeptConnections is the number of callers' connections above which responses close their
	// connections.
	KeptConnections int `yaml:"keptConnections"`
}

// StoreSettings name the operators' store.
type StoreSettings struct {
	Addr string `yaml:"addr"`
}

// RepeatSettings bound the retries of all routers: Ratio for each request, plus Slack in each
// window.
type RepeatSettings struct {
	Ratio         float64 `yaml:"ratio"`
	Slack         float64 `yaml:"slack"`
	WindowSeconds float64 `yaml:"windowSeconds"`
}

// StreamSettings are for streams of events.
type StreamSettings struct {
	// EventDelayMs is the longest time that a router may delay an event, in milliseconds; 0 when it
	// isn't known. A router that is short of CPU batches events within it.
	EventDelayMs float64 `yaml:"eventDelayMs"`
	// LeavingUpstreamMs is how long an upstream that announced its leaving still takes the rest of
	// streams, in milliseconds; 0 for not at all.
	LeavingUpstreamMs float64 `yaml:"leavingUpstreamMs"`
}

// WarmupSettings bound the requests per second that all routers together send to a cold upstream:
// Over times the rate that its service declares (0 counts as 1), plus Slack requests.
type WarmupSettings struct {
	Over  float64 `yaml:"over"`
	Slack float64 `yaml:"slack"`
}

// LeavingSettings configure the graceful shutdown.
type LeavingSettings struct {
	// GraceSeconds is the time between the signal to stop and the forced end.
	GraceSeconds float64 `yaml:"graceSeconds"`
}

// EngineSettings describe the engines' speed.
type EngineSettings struct {
	PrefillTokensPerMs float64 `yaml:"prefillTokensPerMs"`
	FirstEventMs       float64 `yaml:"firstEventMs"`
	SlotTurnMs         float64 `yaml:"slotTurnMs"`
}

// BookingSettings configure how long prompts take turns at engines whose streams may not pause for
// long.
type BookingSettings struct {
	// RunShare is the part of the longest pause for which booked prompts are prefilled back to back;
	// 0 to book none.
	RunShare float64 `yaml:"runShare"`
}

// UpstreamSettings describe connections to upstreams, and bound what upstreams may send.
type UpstreamSettings struct {
	// ConnectMs is the time that a new connection costs a request, in milliseconds; 0 for no
	// preference for upstreams that the router is connected to.
	ConnectMs float64 `yaml:"connectMs"`
	// MaxHeadKiB bounds the head of a response, with the interim (1xx) responses before it, in KiB.
	MaxHeadKiB int `yaml:"maxHeadKiB"`
}

// maxHeadBytes returns the bound of a head in bytes.
func (s UpstreamSettings) maxHeadBytes() int64 { return int64(s.MaxHeadKiB) << 10 }

// LogSettings configure the log.
type LogSettings struct {
	Level string `yaml:"level"`
}

// EntrySettings configure the responses to callers that request router addresses.
type EntrySettings struct {
	// KeepSeconds is how long a caller may cache such a response.
	KeepSeconds float64 `yaml:"keepSeconds"`
	// Known lists peer addresses of routers that may be alive.
	Known []string `yaml:"known"`
}

// DefaultSettings returns the defaults for settings that a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		// A connection takes about 25 KB, and a router typically serves some hundred requests at a
		// time.
		Limits:  LimitSettings{KeptConnections: 300},
		Repeats: RepeatSettings{Ratio: 0.2, WindowSeconds: 10},
		Leaving: LeavingSettings{GraceSeconds: 8},
		// Typical engines prefill 82 to 85 tokens a millisecond, less while they also generate.
		Engines:  EngineSettings{PrefillTokensPerMs: 60, FirstEventMs: 45, SlotTurnMs: 120},
		Bookings: BookingSettings{RunShare: booking.DefaultRunShare},
		// A round trip within a region, and the time until the upstream accepts.
		Upstreams: UpstreamSettings{ConnectMs: 3, MaxHeadKiB: forward.DefaultMaxHead >> 10},
		Log:       LogSettings{Level: "info"},
		Entries:   EntrySettings{KeepSeconds: 1},
	}
}

// ParseSettings decodes and checks the content of a YAML file; unknown keys are errors.
func ParseSettings(file string, content []byte) (Settings, error) {
	s := DefaultSettings()
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.DisallowUnknownField()).Decode(&s); err != nil {
		return Settings{}, errors.Annotatef(err, "%s", file)
	}
	return s, errors.Annotatef(s.Check(), "%s", file)
}
