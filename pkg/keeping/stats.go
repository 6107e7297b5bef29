package keeping

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/keeper"
)

// Stats sums up the state of this router's keepers.
type Stats struct {
	Cells   int
	Slots   int
	Spare   int
	Backlog int
	// Gap is the largest difference between the virtual counters of backlogged
	// organisations in one cell, in units.
	Gap float64
	// Grants counts grants since the start.
	Grants keeper.GrantCounts
}

// Stats returns the sums as of the last tick.
func (d *Manager) Stats() Stats { return *d.stats.Load() }

func (d *Manager) publishStats(now time.Time) {
	s := Stats{Cells: len(d.keepers)}
	for _, k := range d.keepers {
		s.Slots += k.Slots()
		s.Spare += k.Spare(now)
		s.Backlog += k.Backlog()
		s.Gap = max(s.Gap, k.Gap())
		d.grantCounts.Add(k.TakeGrantCounts())
	}
	s.Grants = d.grantCounts
	d.stats.Store(&s)
}
