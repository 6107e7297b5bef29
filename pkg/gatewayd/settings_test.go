package gatewayd

import (
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against settings that the operators' page doesn't list.
func TestPageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/gateway.md")
	require.NoError(t, err)
	for _, name := range settingNames(reflect.TypeFor[Settings]()) {
		require.Regexp(t, "`[a-z.]*"+name+"`", string(page))
	}
}

// settingNames returns the keys of all values in a type.
func settingNames(of reflect.Type) []string {
	var names []string
	for i := range of.NumField() {
		field := of.Field(i)
		if field.Type.Kind() == reflect.Struct {
			names = append(names, settingNames(field.Type)...)
			continue
		}
		names = append(names, strings.Split(field.Tag.Get("yaml"), ",")[0])
	}
	return names
}

// Guards against a router that starts with a faulty address or amount, or an error without its key.
func TestCheckNamesFaults(t *testing.T) {
	s := DefaultSettings()
	s.Router.Name, s.Store.Addr = "r", "10.0.0.1:1"
	s.Listen = ListenSettings{Callers: "10.0.0.2:1", Readiness: "10.0.0.2:2", Peers: "10.0.0.2:3", Entries: "10.0.0.2:4"}
	require.NoError(t, s.Check())
	for key, breakSetting := range map[string]func(*Settings){
		"router.name":            func(s *Settings) { s.Router.Name = "" },
		"listen.callers":         func(s *Settings) { s.Listen.Callers = "here" },
		"advertise.peers":        func(s *Settings) { s.Advertise.Peers = "there" },
		"limits.cores":           func(s *Settings) { s.Limits.Cores = -1 },
		"limits.keptConnections": func(s *Settings) { s.Limits.KeptConnections = 0 },
		"repeats.windowSeconds":  func(s *Settings) { s.Repeats.WindowSeconds = 0 },
		"leaving.graceSeconds":   func(s *Settings) { s.Leaving.GraceSeconds = 0 },
		"bookings.runShare":      func(s *Settings) { s.Bookings.RunShare = math.NaN() },
		"runShare must be":       func(s *Settings) { s.Bookings.RunShare = 1.1 },
		"entries.keepSeconds":    func(s *Settings) { s.Entries.KeepSeconds = 0 },
		"upstreams.connectMs":    func(s *Settings) { s.Upstreams.ConnectMs = math.NaN() },
		"from 0 to 1000":         func(s *Settings) { s.Upstreams.ConnectMs = 1001 },
		"connectMs must":         func(s *Settings) { s.Upstreams.ConnectMs = -1 },
		"trial.off":              func(s *Settings) { s.Trial.Off = []string{"connections"} },
		"upstreams.maxHeadKiB":   func(s *Settings) { s.Upstreams.MaxHeadKiB = 3 },
		"between 4 and 1024":     func(s *Settings) { s.Upstreams.MaxHeadKiB = 1<<54 + 64 },
		"maxHeadKiB must be":     func(s *Settings) { s.Upstreams.MaxHeadKiB = 1025 },
		"log.level":              func(s *Settings) { s.Log.Level = "loud" },
	} {
		faulty := s
		breakSetting(&faulty)
		require.ErrorContains(t, faulty.Check(), key)
	}
}

// Guards against a switch or a setting of connections that is read and never reaches placement.
func TestConnectionSettingsReachPlacement(t *testing.T) {
	s := DefaultSettings()
	require.Equal(t, 3*time.Millisecond, gatewaySettings(s).ConnectCost)
	s.Upstreams.ConnectMs, s.Trial.Off = 0, []string{"connected"}
	require.Zero(t, gatewaySettings(s).ConnectCost)
	require.True(t, gatewaySettings(s).Disabled.Connected)
}
