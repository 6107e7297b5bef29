package gatewayd

import "github.com/flamingowind/flamingowind/pkg/gateway"

// TrialSettings are for measurements only.
type TrialSettings struct {
	// Off names mechanisms that are switched off: speeds, pauses, fetch, yield,
	// occupancy, reserve, harm, herds.
	Off []string `yaml:"off"`
}

// mechanism returns the switch of a mechanism by its name; nil for one that is not known.
func mechanism(m *gateway.DisabledMechanisms, name string) *bool {
	switch name {
	case "speeds":
		return &m.Speeds
	case "pauses":
		return &m.Pauses
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
	}
	return nil
}

// disabled gives the switches; Check has seen to it that the names are known.
func (t TrialSettings) disabled() gateway.DisabledMechanisms {
	var m gateway.DisabledMechanisms
	for _, name := range t.Off {
		if disabled := mechanism(&m, name); disabled != nil {
			*disabled = true
		}
	}
	return m
}
