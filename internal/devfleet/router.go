package devfleet

import (
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/settings"
)

// Router is one router process of the fleet.
type Router struct {
	*Process
	Info RouterInfo
	// Settings are what the process was started with.
	Settings settings.Settings
	// Platform and Peer are the relays before the router's platform link and peer
	// address; nil unless Plan.Relays.
	Platform *TCPRelay
	Peer     *UDPRelay
}

// addresses are what one router binds.
type addresses struct{ entry, operator, metrics, peer string }

func (a *addresses) take(p *Ports) error {
	return p.takeAll(&a.entry, &a.operator, &a.metrics, &a.peer)
}

// routerSettings works out the settings of router i, without relays.
func routerSettings(plan Plan, i int, id string, a addresses) settings.Settings {
	s := settings.Default()
	s.Router = settings.Router{ID: id, Zone: plan.zone(i)}
	s.Listen = settings.Listen{Entry: a.entry, Peer: a.peer, Operator: a.operator, Metrics: a.metrics}
	s.Advertise = settings.Advertise{Entry: a.entry, Peer: a.peer}
	s.Sharing.Mode = plan.Mode
	if plan.Mode == settings.SharingAlone {
		s.Sharing.Slice, s.Sharing.Slices = i, plan.Routers
	}
	s.Log.Form = "text"
	return s
}

// writeSettings writes s as YAML to dir/id.yaml and returns the file.
func writeSettings(dir string, s settings.Settings) (string, error) {
	data, err := yaml.Marshal(s)
	if err != nil {
		return "", errors.Annotate(err, "encode settings")
	}
	file := filepath.Join(dir, s.Router.ID+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return "", errors.Annotate(err, "write settings")
	}
	if _, err := settings.Load(file); err != nil {
		return "", errors.Annotate(err, "settings written for a router")
	}
	return file, nil
}
