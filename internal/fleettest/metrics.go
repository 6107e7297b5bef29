package fleettest

import (
	"bytes"
	"net/http"
	"slices"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Gauges that tests look at.
const (
	SlotsUsed   = "flamingowind_keeper_slots_used"
	SlotsSpare  = "flamingowind_keeper_slots_spare"
	Backlog     = "flamingowind_keeper_backlog"
	Waiting     = "flamingowind_claimant_waiting"
	MemberAlive = "flamingowind_member_alive"
)

// Gauge reads a gauge of router i.
func (f *Fleet) Gauge(i int, name string) (float64, error) {
	status, answer, err := call(f.Ctx, http.MethodGet, "http://"+f.Routers[i].Info.Metrics+"/metrics", "", nil)
	if err != nil || status != http.StatusOK {
		return 0, errors.Errorf("metrics of router %d: status %d, %v", i, status, err)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(answer))
	if err != nil {
		return 0, errors.Annotate(err, "read metrics")
	}
	family, ok := families[name]
	if !ok {
		return 0, errors.NotFoundf("metric %s", name)
	}
	return total(family), nil
}

func total(f *dto.MetricFamily) float64 {
	var sum float64
	for _, m := range f.GetMetric() {
		sum += m.GetGauge().GetValue()
	}
	return sum
}

// Sum adds a gauge up over the routers in list.
func (f *Fleet) Sum(list []int, name string) (float64, error) {
	var sum float64
	err := each(list, func(i int) error {
		v, err := f.Gauge(i, name)
		sum += v
		return err
	})
	return sum, err
}

// BackloggedKeeper waits for a router that keeps a cell with waiting claims and gives
// its index.
func (f *Fleet) BackloggedKeeper(list []int) int {
	f.t.Helper()
	keeper := -1
	f.Eventually("a keeper has a backlog", func() error {
		for _, i := range list {
			if n, err := f.Gauge(i, Backlog); err == nil && n > 0 {
				keeper = i
				return nil
			}
		}
		return errors.New("no keeper has a backlog")
	})
	return keeper
}

// WaitIdle waits until no slot is held and nothing waits anywhere: what is still held
// when no request is left has leaked. All slots must be spare.
func (f *Fleet) WaitIdle(slots int) {
	f.t.Helper()
	f.WaitIdleAt(f.All(), slots)
}

// WaitIdleAt is WaitIdle for the routers in list; the others don't run.
func (f *Fleet) WaitIdleAt(list []int, slots int) {
	f.t.Helper()
	f.Eventually("all slots come free", func() error { return f.idle(list, slots) })
}

func (f *Fleet) idle(list []int, slots int) error {
	want := []float64{0, 0, 0, float64(slots)}
	got := make([]float64, len(want))
	for i, name := range []string{SlotsUsed, Backlog, Waiting, SlotsSpare} {
		var err error
		if got[i], err = f.Sum(list, name); err != nil {
			return err
		}
	}
	if !slices.Equal(got, want) {
		return errors.Errorf("slots used, backlog, waiting and slots spare are %v in place of %v", got, want)
	}
	return nil
}
