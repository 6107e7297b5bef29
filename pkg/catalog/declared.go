package catalog

import "github.com/flamingowind/flamingowind/pkg/routing"

// Declared is what the operator has declared, as one response of the store reports it.
type Declared struct {
	// Config is the newest configuration; nil when the response contains no usable one.
	Config *routing.Config
	// Zones are the zones in the response: all evacuated zones for a read, the changed ones for a
	// watch.
	Zones []ZoneChange
}

// ZoneChange is the evacuation of an availability zone or, when Restored, its end.
type ZoneChange struct {
	Zone     string
	Restored bool
}
