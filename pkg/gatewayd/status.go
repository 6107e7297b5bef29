package gatewayd

import (
	"sort"
	"time"

	"github.com/flamingowind/flamingowind/pkg/status"
)

// status returns the router's current status.
func (p *Process) status() status.Status {
	now := time.Now()
	s := p.settings.Load()
	set, rev := p.catalog.Instances(), p.catalog.InstancesRevision()
	current := status.Status{
		Router: s.Router.Name, Zone: s.Router.Zone, Ready: p.gateway.Ready(), Active: p.gateway.Active(),
		Config: p.catalog.Version(), ListRevision: int64(rev), Era: rev.Era(), Exchange: p.fleet.Role(),
		EvacuatedZones: append([]string{}, p.catalog.Evacuations().Zones...),
		Routers:        make([]status.Router, 0), Upstreams: make([]status.Upstream, 0), Organisations: p.organisations(now),
	}
	if rev > 0 {
		current.ListAgeMs = p.catalog.InstancesAge(now).Milliseconds()
	}
	current.Software, current.Streams = p.software(now), p.streams.Records()
	current.Suspects = suspects(p.local.quarantine)
	current.Bookings = p.bookingStats.status()
	current.Faults = p.rowFaults.total()
	if p.logDrops.count != nil {
		current.LinesDropped = p.logDrops.count()
	}
	for _, e := range p.fleet.Alive() {
		current.Routers = append(current.Routers, status.Router{Name: e.Member.Name, Zone: e.Member.Zone, Callers: e.Member.Callers, Ready: e.Ready})
	}
	for _, in := range set.List() {
		handicap, usable := p.health.Usable(in.Life(), now)
		load := p.local.loads.Load(in.Life())
		current.Upstreams = append(current.Upstreams, status.Upstream{Born: in.Born, Fault: p.rowFaults.fault(&in), Held: p.catalog.Basis(in.ID, now).Held,
			ID: string(in.ID), Service: in.Service, Addr: in.Addr, Zone: in.Zone,
			State: string(in.State), Usable: usable, HandicapMs: handicap.Milliseconds(), Running: load.Running, Slots: in.Slots, Unread: load.PrefillTokens,
			Slowness: p.local.estimator.Slowness(in.Life(), now), Fragile: load.PauseWeight, Long: load.LongPrompts})
	}
	sort.Slice(current.Upstreams, func(i, j int) bool { return current.Upstreams[i].ID < current.Upstreams[j].ID })
	sort.Slice(current.Routers, func(i, j int) bool { return current.Routers[i].Name < current.Routers[j].Name })
	return current
}

func (p *Process) organisations(now time.Time) []status.Organisation {
	capacity := 0.0
	if table := p.catalog.Table(); table != nil {
		capacity = table.Config.Limits.TokensPerSecond
	}
	list := make([]status.Organisation, 0)
	for org, use := range p.local.shares.All(now) {
		list = append(list, status.Organisation{Name: org, Asked: use.Asked, Got: use.Got, Standing: p.local.shares.Standing(org, capacity, now).ShareRatio})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// software returns the software versions of services with their upstreams that are ready.
func (p *Process) software(now time.Time) []status.Software {
	known, _ := p.streams.Statement(now)
	list := make([]status.Software, 0, len(known.Versions))
	for _, v := range known.Versions {
		one := status.Software{Service: v.Service, Version: v.Version, AgeMs: v.AgeMs, Open: v.Open}
		for _, in := range p.catalog.Instances().ByService(v.Service) {
			if in.Software == v.Version && p.catalog.Placeable(in) {
				one.Upstreams++
				one.Slots += in.Slots
			}
		}
		list = append(list, one)
	}
	return list
}
