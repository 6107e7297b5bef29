package keeping

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func (d *Manager) handle(e event, now time.Time) {
	switch {
	case e.mark != nil:
		d.applyMark(*e.mark, now)
	case e.frame != nil:
		d.handleFrame(e, now)
	default:
		d.updateSuspect(e.content)
	}
}

func (d *Manager) updateSuspect(content uint64) {
	for _, k := range d.keepers {
		k.UpdateSuspect(content)
	}
	d.markAllDirty()
}

func (d *Manager) handleFrame(e event, now time.Time) {
	f := e.frame
	for _, r := range f.Reports {
		d.report(e.from, f.Life, r, now)
	}
	for _, done := range f.Dones {
		if k := d.activeKeeper(done.Cell); k != nil {
			k.Done(e.from, f.Life, done, now)
		}
	}
	for _, c := range f.Cancels {
		if k := d.activeKeeper(c.Cell); k != nil {
			k.Cancel(e.from, f.Life, c, now)
		}
	}
	for _, c := range f.Claims {
		d.claim(e.from, f.Life, c, now)
	}
}

// claim passes a claim to its keeper, or refuses it if another router keeps the cell: the
// sender's view of the membership is older or newer than ours, and an answer saves it a
// wait.
func (d *Manager) claim(from wire.RouterID, life wire.Incarnation, c wire.Claim, now time.Time) {
	if k := d.activeKeeper(c.Cell); k != nil {
		k.Claim(from, life, c, now)
		return
	}
	d.sender.Send(from, func(f *wire.Frame) {
		f.Refusals = append(f.Refusals, wire.Refusal{ID: c.ID, Cell: c.Cell, Reason: wire.RefusedNotKeeper})
	})
}

func (d *Manager) report(from wire.RouterID, life wire.Incarnation, r wire.Report, now time.Time) {
	for _, m := range r.Down {
		d.applyMark(m, now)
	}
	k := d.activeKeeper(r.Cell)
	if k == nil {
		return
	}
	state := k.Report(from, life, r, now)
	d.sender.Send(from, func(f *wire.Frame) { f.States = append(f.States, state) })
}

func (d *Manager) applyMark(m wire.UpstreamMark, now time.Time) {
	if known, ok := d.marks[m.Upstream]; ok && known.Generation >= m.Generation {
		return
	}
	d.marks[m.Upstream] = m
	for id, k := range d.keepers {
		k.Mark(m, now)
		d.dirty[id] = true
	}
}

func (d *Manager) activeKeeper(cell wire.CellID) *keeper.Keeper {
	k := d.keepers[cell]
	if k != nil {
		d.dirty[cell] = true
	}
	return k
}

func (d *Manager) markAllDirty() {
	for id := range d.keepers {
		d.dirty[id] = true
	}
}

// flush sends the messages of the dirty keepers.
func (d *Manager) flush(now time.Time) {
	for id := range d.dirty {
		if k := d.keepers[id]; k != nil {
			d.send(k.Next(now))
		}
	}
	clear(d.dirty)
}

func (d *Manager) send(outs []keeper.Message) {
	for _, o := range outs {
		d.sender.Send(o.To, func(f *wire.Frame) {
			if o.Grant != nil {
				f.Grants = append(f.Grants, *o.Grant)
			}
			if o.Refusal != nil {
				f.Refusals = append(f.Refusals, *o.Refusal)
			}
		})
	}
}
