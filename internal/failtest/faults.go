package failtest

import (
	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	standin "github.com/flamingowind/flamingowind/pkg/standin/platform"
	"github.com/flamingowind/flamingowind/pkg/standin/service"
)

// Engines switches failures of all engines; the zero value ends them.
func (w *World) Engines(f engine.Faults) {
	w.t.Helper()
	for _, u := range w.upstreams(devfleet.Engine) {
		w.putJSON(u.URL+"/admin/faults", f)
	}
}

// Engine switches failures of one engine.
func (w *World) Engine(name string, f engine.Faults) {
	w.t.Helper()
	for _, u := range w.upstreams(devfleet.Engine) {
		if u.Name == name {
			w.putJSON(u.URL+"/admin/faults", f)
		}
	}
}

// Services switches failures of all plain services; the zero value ends them.
func (w *World) Services(f service.Faults) {
	w.t.Helper()
	for _, u := range w.upstreams(devfleet.PlainService) {
		w.putJSON(u.URL+"/admin/faults", f)
	}
}

// PlatformFaults switches failures of the platform; the zero value ends them.
func (w *World) PlatformFaults(f standin.Faults) {
	w.t.Helper()
	w.putJSON(w.Ready.Platform+"/admin/faults", f)
}

// BreakLinks breaks all connections between routers and upstreams, as hosts on the
// way that restart do.
func (w *World) BreakLinks() {
	for _, l := range w.Links {
		l.Break()
	}
}

// CutLinks holds back everything between routers and upstreams until HealLinks.
func (w *World) CutLinks() {
	for _, l := range w.Links {
		l.Cut()
	}
}

// HealLinks ends CutLinks.
func (w *World) HealLinks() {
	for _, l := range w.Links {
		l.Heal()
	}
}

// MarkLeaving publishes a host list on which the upstream leaves.
func (w *World) MarkLeaving(upstream string) {
	w.t.Helper()
	var list platform.HostList
	w.getJSON(w.Ready.Platform+"/hosts", &list)
	list.Generation++
	for i := range list.Hosts {
		if list.Hosts[i].Name == upstream {
			list.Hosts[i].State = platform.HostLeaving
		}
	}
	w.must(w.PublishHosts(w.ctx, list))
}

// DeclareLeaving changes the configuration, at router 0, so that the engine leaves.
func (w *World) DeclareLeaving(engine string) {
	w.t.Helper()
	for _, u := range w.upstreams(devfleet.Engine) {
		if u.Name != engine {
			continue
		}
		r := &resource.Upstream{
			Meta: resource.Meta{Name: u.Name}, Pool: devfleet.ModelPool, URL: "http://" + w.Links[u.Name].Addr(),
			Zone: u.Zone, Slots: u.Slots, Resumes: true, ChecksFence: true, Leaving: true,
		}
		item := operator.ApplyItem{Resource: resource.Document{Resource: r}}
		w.must(w.Apply(w.ctx, 0, operator.Apply{Put: []operator.ApplyItem{item}}))
	}
}

func (w *World) upstreams(kind devfleet.UpstreamKind) []devfleet.UpstreamInfo {
	var list []devfleet.UpstreamInfo
	for _, u := range w.Ready.Upstreams {
		if u.Kind == kind {
			list = append(list, u)
		}
	}
	return list
}
