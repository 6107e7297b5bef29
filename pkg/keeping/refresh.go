package keeping

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// refresh creates, configures and ends keepers after a change of the configuration or the
// membership.
func (d *Manager) refresh(now time.Time) {
	index := d.directory.Index()
	if index == nil {
		return
	}
	alive := d.directory.Alive()
	cells := d.keptCells(index)
	reconfigure := index != d.index
	weights := weightsOf(index)
	for id, cell := range cells {
		k, known := d.keepers[id]
		if !known {
			k = d.newKeeper(id, alive, now)
		}
		if !known || reconfigure {
			k.Configure(upstreamsOf(cell), weights, now)
			k.SetGrantAhead(cell.Pool.GrantAhead)
			k.EnableHeadroom(!cell.Pool.NeverIdle && d.options.Keeper.Slices <= 1)
		}
	}
	for id, k := range d.keepers {
		if _, kept := cells[id]; !kept {
			d.handOver(id, k, now)
		}
	}
	d.index = index
	d.reportDead(alive, now)
	d.markAllDirty()
	d.flush(now)
}

func (d *Manager) keptCells(index *resource.Index) map[wire.CellID]*resource.Cell {
	kept := make(map[wire.CellID]*resource.Cell)
	for _, pool := range index.Snapshot().Pools {
		for _, cell := range index.Cells(pool.Name) {
			if d.directory.Keeps(cell.ID) {
				kept[cell.ID] = cell
			}
		}
	}
	return kept
}

func (d *Manager) newKeeper(id wire.CellID, alive []wire.RouterID, now time.Time) *keeper.Keeper {
	o := d.options.Keeper
	o.Cell = id
	k := keeper.New(o, alive, now)
	for _, m := range d.marks {
		k.Mark(m, now)
	}
	d.keepers[id] = k
	d.options.Log.WithField("cell", id).Info("keeping cell")
	return k
}

func (d *Manager) handOver(id wire.CellID, k *keeper.Keeper, now time.Time) {
	k.HandOver()
	d.send(k.Next(now))
	d.grantCounts.Add(k.TakeGrantCounts())
	delete(d.keepers, id)
	delete(d.dirty, id)
	d.options.Log.WithField("cell", id).Info("handed cell over")
}

func (d *Manager) handOverAll(now time.Time) {
	for id, k := range d.keepers {
		d.handOver(id, k, now)
	}
}

// reportDead tells the keepers which routers are no longer alive.
func (d *Manager) reportDead(alive []wire.RouterID, now time.Time) {
	current := make(map[wire.RouterID]bool, len(alive))
	for _, id := range alive {
		current[id] = true
	}
	for id := range d.alive {
		if current[id] {
			continue
		}
		for _, k := range d.keepers {
			k.MarkRouterDead(id, now)
		}
	}
	d.alive = current
}

func weightsOf(index *resource.Index) map[string]float64 {
	orgs := index.Snapshot().Organisations
	weights := make(map[string]float64, len(orgs))
	for i := range orgs {
		weights[orgs[i].Name] = index.Organisation(orgs[i].Name).Weight
	}
	return weights
}

func upstreamsOf(cell *resource.Cell) []resource.Upstream {
	list := make([]resource.Upstream, len(cell.Upstreams))
	for i, u := range cell.Upstreams {
		list[i] = *u
	}
	return list
}
