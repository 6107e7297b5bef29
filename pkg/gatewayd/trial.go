package gatewayd

import "github.com/flamingowind/flamingowind/pkg/gateway"

// TrialSettings are for measurements only.
type TrialSettings struct {
	// Off names mechanisms that are switched off: speeds, pauses, fetch, yield,
	// occupancy, reserve, harm, herds.
	Off []string `yaml:"off"`
}

// mechanisms gives the switch of a mechanism by its name; nil for one that isn't known.
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

// off gives the switches; Check has seen to it that the names are known.
func (t TrialSettings) off() gateway.DisabledMechanisms {
	var m gateway.DisabledMechanisms
	for _, name := range t.Off {
		if one := mechanism(&m, name); one != nil {
			*one = true
		}
	}
	return m
}
