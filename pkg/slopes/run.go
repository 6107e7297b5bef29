package slopes

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"
)

// Plan holds the experiments; a nil one is left out.
type Plan struct {
	Peers         *Peers
	Cells         *Cells
	Path          *Path
	Members       *Members
	Configuration *Configuration
	Reads         *Reads
}

// FullPlan is that of the data file: under three minutes, one process, under 2 GB.
func FullPlan() Plan {
	return Plan{
		Cells:         &Cells{Orgs: []int{7, 71, 355, 710}, Waiting: []int{250, 1000, 4000, 16000}, Kept: []int{1, 2, 4, 8}, Cycles: 20_000},
		Configuration: &Configuration{Shares: []float64{0.05, 0.25, 0.5, 1}, Rounds: 10},
		Reads:         &Reads{Fleets: []int{8, 82, 165, fullNodes}, Length: 30 * time.Second},
		Path: &Path{
			Rates:    []float64{2, 20, 200},
			Coalesce: []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond},
			Running:  []int{0, 16, 64, 256},
			Orgs:     []int{8, 71, fullOrgs},
			Window:   2 * time.Second, Warm: 1200 * time.Millisecond,
		},
		Peers: &Peers{Nodes: 65, Degrees: []int{4, 16, 32, 64}, Window: 2 * time.Second},
		Members: &Members{
			Fleets: []int{8, 33, 130, fullNodes}, Heartbeat: 100 * time.Millisecond,
			Window: 2 * time.Second, JoinWithin: 12 * time.Second,
			Settle: 1500 * time.Millisecond, SettleEach: 50 * time.Millisecond,
		},
	}
}

// Run measures and gives the report.
func Run(ctx context.Context, p Plan) (*Report, error) {
	dir, err := os.MkdirTemp("", "slopes-")
	if err != nil {
		return nil, errors.Annotate(err, "make a directory")
	}
	defer os.RemoveAll(dir)
	r := newReport()
	for _, run := range p.experiments(dir, r) {
		if err := run(ctx); err != nil {
			return nil, err
		}
	}
	return r, errors.Trace(ctx.Err())
}

func (p Plan) experiments(dir string, r *Report) []func(context.Context) error {
	var list []func(context.Context) error
	if p.Cells != nil {
		list = append(list, func(ctx context.Context) error { return p.Cells.run(ctx, r) })
	}
	if p.Configuration != nil {
		list = append(list, func(ctx context.Context) error { return p.Configuration.run(ctx, dir, r) })
	}
	if p.Reads != nil {
		list = append(list, func(ctx context.Context) error { return p.Reads.run(ctx, r) })
	}
	if p.Path != nil {
		list = append(list, func(ctx context.Context) error { return p.Path.run(ctx, dir, r) })
	}
	if p.Peers != nil {
		list = append(list, func(ctx context.Context) error { return p.Peers.run(ctx, dir, r) })
	}
	if p.Members != nil {
		list = append(list, func(ctx context.Context) error { return p.Members.run(ctx, r) })
	}
	return list
}
