package devfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Names of the seeded pools.
const (
	ModelPool   = "models"
	ServicePool = "services"
)

// publishHosts writes the host list: the routers, and the upstreams.
func (f *Fleet) publishHosts(ctx context.Context) error {
	list := platform.HostList{Generation: 1}
	for _, r := range f.Routers {
		list.Hosts = append(list.Hosts, platform.Host{
			Name: r.Settings.Router.ID, Kind: platform.HostEntry, Zone: r.Settings.Router.Zone,
			Addr: r.Settings.Advertise.Peer, State: platform.HostLive,
		})
	}
	for _, u := range f.Ready.Upstreams {
		list.Hosts = append(list.Hosts, platform.Host{
			Name: u.Name, Kind: platform.HostUpstream, Zone: u.Zone, Addr: f.routedURL(u), State: platform.HostLive,
		})
	}
	return f.PublishHosts(ctx, list)
}

// PublishHosts replaces the platform's host list.
func (f *Fleet) PublishHosts(ctx context.Context, list platform.HostList) error {
	return send(ctx, http.MethodPut, f.Ready.Platform+"/admin/hosts", "", list)
}

// seed applies the whole configuration in one operation; it is tried again until a
// router takes it, since the operation's ID makes it idempotent.
func (f *Fleet) seed(ctx context.Context) error {
	op := operator.Apply{OpID: newSecret("seed")}
	for _, r := range f.resources() {
		op.Put = append(op.Put, operator.ApplyItem{Resource: resource.Document{Resource: r}})
	}
	first := f.Routers[0]
	return poll(ctx, first.Process, func() error { return f.Apply(ctx, 0, op) })
}

// Apply sends op to the operator API of router i.
func (f *Fleet) Apply(ctx context.Context, i int, op operator.Apply) error {
	url := "http://" + f.Routers[i].Settings.Listen.Operator + "/api/v1/apply"
	return send(ctx, http.MethodPost, url, f.Ready.OperatorToken, op)
}

func (f *Fleet) resources() []resource.Resource {
	list := []resource.Resource{
		&resource.Pool{Meta: named(ModelPool), Kind: resource.PoolModel, CellSize: f.Plan.CellSize},
		&resource.Pool{Meta: named(ServicePool), Kind: resource.PoolService},
		&resource.Route{Meta: named(f.Plan.Model), Model: f.Plan.Model, Pool: ModelPool},
		&resource.Route{
			Meta: named(f.Plan.Service), Service: f.Plan.Service, Pool: ServicePool,
			AtMostOnce: []string{http.MethodPost},
		},
	}
	for _, o := range f.Ready.Organisations {
		list = append(list, &resource.Organisation{
			Meta: named(o.Name), Weight: o.Weight, KeyHashes: []string{keyHash(o.Key)},
		})
	}
	for _, u := range f.Ready.Upstreams {
		r := f.upstreamResource(u)
		list = append(list, &r)
	}
	return list
}

func (f *Fleet) upstreamResource(u UpstreamInfo) resource.Upstream {
	r := resource.Upstream{Meta: named(u.Name), URL: f.routedURL(u), Zone: u.Zone, Slots: u.Slots, Pool: ServicePool}
	if u.Kind == Engine {
		r.Pool, r.MaxSlots, r.Resumes, r.ChecksFence = ModelPool, f.Plan.MaxSlots, true, u.ChecksFence
	}
	return r
}

func named(name string) resource.Meta { return resource.Meta{Name: name} }

// send writes body as JSON; anything but a 2xx answer is an error.
func send(ctx context.Context, method, url, token string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Annotate(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, url, resp.Status, answer)
	}
	return nil
}
