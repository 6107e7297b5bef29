package slopes

import (
	"fmt"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// The letter's size; see docs/CAPACITY.md.
const (
	fullNodes     = 330
	fullOrgs      = 710
	fullUpstreams = 2100
	fullPools     = 22
)

// snapshot makes a configuration with a share of the letter's organisations and
// upstreams, an order for each upstream, and all of its pools.
func snapshot(share float64) *resource.Snapshot {
	s := &resource.Snapshot{Version: 190_000}
	for i := range int(share * fullOrgs) {
		name := orgName(i)
		s.Organisations = append(s.Organisations, resource.Organisation{
			Meta: resource.Meta{Name: name, Version: uint64(i + 1)}, Weight: 1,
			KeyHashes: []string{resource.KeyHash(name + "/a"), resource.KeyHash(name + "/b")},
		})
	}
	for i := range fullPools {
		name := poolName(i)
		s.Pools = append(s.Pools, resource.Pool{Meta: resource.Meta{Name: name, Version: 1}, Kind: resource.PoolModel})
		s.Routes = append(s.Routes, resource.Route{Meta: resource.Meta{Name: name, Version: 1}, Model: name, Pool: name})
	}
	for i := range int(share * fullUpstreams) {
		s.Upstreams = append(s.Upstreams, resource.Upstream{
			Meta: resource.Meta{Name: upstreamName(i), Version: uint64(i + 1)}, Pool: s.Pools[i%fullPools].Name,
			URL: fmt.Sprintf("http://10.%d.%d.%d:9000", i%7, i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%7),
			Slots: 32, ChecksFence: i%2 == 0, Resumes: true,
		})
		s.Orders = append(s.Orders, resource.Order{
			Meta: resource.Meta{Name: upstreamName(i), Version: 1}, Upstream: upstreamName(i),
			Model: s.Pools[i%fullPools].Name, Revision: "2026-11", Role: "decode",
		})
	}
	return s
}

// cells makes a configuration with some pools, each of one cell, and their upstreams.
func cells(pools, upstreams, slots int) *resource.Index {
	s := snapshot(0.1)
	s.Upstreams = s.Upstreams[:0]
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, resource.Upstream{
			Meta: resource.Meta{Name: upstreamName(i), Version: 1}, Pool: s.Pools[i%pools].Name,
			URL: "http://10.0.0.1:9000", Slots: slots,
		})
	}
	return resource.NewIndex(s)
}

func poolName(i int) string     { return fmt.Sprintf("model-%02d", i) }
func orgName(i int) string      { return fmt.Sprintf("org-%03d", i) }
func upstreamName(i int) string { return fmt.Sprintf("engine-%04d", i) }

// world is the directory of claimants and keepers: one configuration, one keeper.
type world struct {
	index  *resource.Index
	keeper wire.RouterID
	self   wire.RouterID
	alive  []wire.RouterID
}

// Index implements keeping.Directory.
func (w *world) Index() *resource.Index { return w.index }

// Keeps implements keeping.Directory.
func (w *world) Keeps(wire.CellID) bool { return w.self == w.keeper }

// Alive implements keeping.Directory.
func (w *world) Alive() []wire.RouterID { return w.alive }

// Cells implements claimant.Directory.
func (w *world) Cells(pool string) []wire.CellID {
	var ids []wire.CellID
	for _, c := range w.index.Cells(pool) {
		ids = append(ids, c.ID)
	}
	return ids
}

// Keeper implements claimant.Directory.
func (w *world) Keeper(wire.CellID) (wire.RouterID, bool) { return w.keeper, true }

// UpstreamURL implements claimant.Directory.
func (w *world) UpstreamURL(string) (string, bool) { return "http://10.0.0.1:9000", true }

// Usable implements claimant.Directory.
func (w *world) Usable(string) bool { return true }
