package keeping

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/keeper"
)

// Stats sums up the keepers of this router.
type Stats struct {
	Cells   int
	Slots   int
	Spare   int
	Backlog int
	// Gap is the largest difference of virtual counters among backlogged
	// organisations in one cell, in units.
	Gap float64
	// Granted counts grants since the start.
	Granted keeper.Granted
}

// Stats gives the sums of the last tick.
func (d *Duty) Stats() Stats { return *d.stats.Load() }

func (d *Duty) publish(now time.Time) {
	s := Stats{Cells: len(d.keepers)}
	for _, k := range d.keepers {
		s.Slots += k.Slots()
		s.Spare += k.Spare(now)
		s.Backlog += k.Backlog()
		s.Gap = max(s.Gap, k.Gap())
		d.granted.Add(k.TakeGranted())
	}
	s.Granted = d.granted
	d.stats.Store(&s)
}
