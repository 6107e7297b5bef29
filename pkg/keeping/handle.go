package keeping

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func (d *Duty) handle(e event, now time.Time) {
	switch {
	case e.mark != nil:
		d.applyMark(*e.mark, now)
	case e.frame != nil:
		d.handleFrame(e, now)
	default:
		d.suspected(e.content)
	}
}

func (d *Duty) suspected(content uint64) {
	for _, k := range d.keepers {
		k.Suspected(content)
	}
	d.touchAll()
}

func (d *Duty) handleFrame(e event, now time.Time) {
	f := e.frame
	for _, r := range f.Reports {
		d.report(e.from, f.Life, r, now)
	}
	for _, done := range f.Dones {
		if k := d.touch(done.Cell); k != nil {
			k.Done(e.from, f.Life, done, now)
		}
	}
	for _, c := range f.Cancels {
		if k := d.touch(c.Cell); k != nil {
			k.Cancel(e.from, f.Life, c, now)
		}
	}
	for _, c := range f.Claims {
		d.claim(e.from, f.Life, c, now)
	}
}

// claim refuses what belongs to another keeper: the router's view of the membership
// is older or newer than ours, and an answer beats a wait.
func (d *Duty) claim(from wire.RouterID, life wire.Incarnation, c wire.Claim, now time.Time) {
	if k := d.touch(c.Cell); k != nil {
		k.Claim(from, life, c, now)
		return
	}
	d.sender.Send(from, func(f *wire.Frame) {
		f.Refusals = append(f.Refusals, wire.Refusal{ID: c.ID, Cell: c.Cell, Reason: wire.RefusedNotKeeper})
	})
}

func (d *Duty) report(from wire.RouterID, life wire.Incarnation, r wire.Report, now time.Time) {
	for _, m := range r.Down {
		d.applyMark(m, now)
	}
	k := d.touch(r.Cell)
	if k == nil {
		return
	}
	state := k.Report(from, life, r, now)
	d.sender.Send(from, func(f *wire.Frame) { f.States = append(f.States, state) })
}

func (d *Duty) applyMark(m wire.UpstreamMark, now time.Time) {
	if known, ok := d.marks[m.Upstream]; ok && known.Generation >= m.Generation {
		return
	}
	d.marks[m.Upstream] = m
	for id, k := range d.keepers {
		k.Mark(m, now)
		d.touched[id] = true
	}
}

func (d *Duty) touch(cell wire.CellID) *keeper.Keeper {
	k := d.keepers[cell]
	if k != nil {
		d.touched[cell] = true
	}
	return k
}

func (d *Duty) touchAll() {
	for id := range d.keepers {
		d.touched[id] = true
	}
}

// flush sends what the touched keepers decide.
func (d *Duty) flush(now time.Time) {
	for id := range d.touched {
		if k := d.keepers[id]; k != nil {
			d.send(k.Next(now))
		}
	}
	clear(d.touched)
}

func (d *Duty) send(outs []keeper.Out) {
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
