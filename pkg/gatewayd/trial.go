package gatewayd

import "github.com/flamingowind/flamingowind/pkg/gateway"

// TrialSettings disable parts of placement for experiments.
type TrialSettings struct {
	// Off names the disabled mechanisms: speeds, pauses, bookings, fetch, yield,
	// occupancy, reserve, harm, herds, connected.
	Off []string `yaml:"off"`
}

// mechanism returns the flag that disables a named mechanism; nil for an unknown name.
func mechanism(m *gateway.DisabledMechanisms, name string) *bool {
	switch name {
	case "speeds":
		return &m.Speeds
	case "pauses":
		return &m.Pauses
	case "bookings":
		return &m.Bookings
	case "fetch":
		return &m.Fetch
	case "yield":
		return &m.Yield
	case "occupancy":
		return &m.Occupancy
	case "reserve":
		return &m.Reserve
	case "harm":
		return &m.Harm
	case "herds":
		return &m.Herds
	case "connected":
		return &m.Connected
	}
	return nil
}

// disabled returns the flags. Check has verified the names.
func (t TrialSettings) disabled() gateway.DisabledMechanisms {
	var m gateway.DisabledMechanisms
	for _, name := range t.Off {
		if disabled := mechanism(&m, name); disabled != nil {
			*disabled = true
		}
	}
	return m
}
