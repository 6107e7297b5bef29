package devfleet

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/flamingowind/flamingowind/pkg/settings"
)

// prepareRouters chooses the addresses of all routers before any starts, so that
// each can name the others as seeds.
func (f *Fleet) prepareRouters(context.Context) error {
	for i := range f.Plan.Routers {
		var a addresses
		if err := a.take(f.ports); err != nil {
			return err
		}
		r := &Router{Settings: routerSettings(f.Plan, i, fmt.Sprintf("router-%02d", i+1), a)}
		f.Routers = append(f.Routers, r)
		if err := f.linkRouter(r); err != nil {
			return err
		}
	}
	for i, r := range f.Routers {
		r.Settings.Peers.Seeds = f.seedsFor(i)
		if f.Plan.Adjust != nil {
			f.Plan.Adjust(i, &r.Settings)
		}
	}
	return nil
}

// linkRouter sets the platform's URL and, when the plan wants relays, puts them
// before the router's peer address and its platform link.
func (f *Fleet) linkRouter(r *Router) error {
	r.Settings.Platform.URL = f.Ready.Platform
	r.Settings.Operator.TokenFile = f.tokenFile
	if !f.Plan.Relays {
		return nil
	}
	var peer, link string
	err := f.ports.takeAll(&peer, &link)
	if err != nil {
		return err
	}
	if r.Peer, err = NewUDPRelay(peer, r.Settings.Listen.Peer); err != nil {
		return err
	}
	if r.Platform, err = NewTCPRelay(link, strings.TrimPrefix(f.Ready.Platform, "http://")); err != nil {
		return err
	}
	r.Settings.Advertise.Peer = peer
	r.Settings.Platform.URL = "http://" + link
	return nil
}

func (f *Fleet) seedsFor(i int) []string {
	var seeds []string
	for j, r := range f.Routers {
		if j != i {
			seeds = append(seeds, r.Settings.Advertise.Peer)
		}
	}
	return seeds
}

func (f *Fleet) startRouters(context.Context) error {
	for _, r := range f.Routers {
		if err := f.startRouter(r); err != nil {
			return err
		}
		f.Ready.Routers = append(f.Ready.Routers, r.Info)
	}
	return nil
}

// Rewrite replaces the settings file of router i; its process isn't told.
func (f *Fleet) Rewrite(i int, change func(*settings.Settings)) error {
	s := f.Routers[i].Settings
	change(&s)
	_, err := writeSettings(f.Plan.Dir, s)
	return err
}

func (f *Fleet) startRouter(r *Router) error {
	id := r.Settings.Router.ID
	files, err := f.authority.Issue(id)
	if err != nil {
		return err
	}
	r.Settings.Peers.Cert, r.Settings.Peers.Key, r.Settings.Peers.CA = files.Cert, files.Key, f.authority.CAFile
	file, err := writeSettings(f.Plan.Dir, r.Settings)
	if err != nil {
		return err
	}
	r.Process, err = StartProcess(f.Plan.Dir, id, filepath.Join(f.Plan.BinDir, routerProgram), "run", "-settings", file)
	if err != nil {
		return err
	}
	r.Info = RouterInfo{
		ID: id, Zone: r.Settings.Router.Zone, PID: r.PID(),
		Entry: r.Settings.Listen.Entry, Operator: r.Settings.Listen.Operator,
		Metrics: r.Settings.Listen.Metrics, Peer: r.Settings.Advertise.Peer,
	}
	return nil
}
