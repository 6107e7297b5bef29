package fleettest

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// OrderJournal is what an engine noted of orders.
type OrderJournal struct {
	Orders []engine.ReceivedOrder `json:"orders"`
	// Held counts orders held by the switch, Looks the reads of the state, also by tests.
	Held  int    `json:"ordersHeld"`
	Looks uint64 `json:"looks"`
}

// Of lists the orders for a model.
func (j OrderJournal) Of(model string) []engine.ReceivedOrder {
	var list []engine.ReceivedOrder
	for _, o := range j.Orders {
		if o.Model == model {
			list = append(list, o)
		}
	}
	return list
}

// engine calls engine n past any relay.
func (f *Fleet) engine(method, path string, n int, body, v any) (int, error) {
	return f.read(method, f.Ready.Upstreams[n].URL+path, body, v)
}

// read calls url and decodes an answer of 200 into v.
func (f *Fleet) read(method, url string, body, v any) (int, error) {
	status, answer, err := call(f.Ctx, method, url, "", body)
	if err != nil || status != http.StatusOK || v == nil {
		return status, err
	}
	return status, errors.Annotate(json.Unmarshal(answer, v), url)
}

// OrderJournal reads engine n's journal.
func (f *Fleet) OrderJournal(n int) OrderJournal {
	f.t.Helper()
	var j OrderJournal
	_, err := f.engine(http.MethodGet, "/admin/journal", n, nil, &j)
	require.NoError(f.t, err)
	return j
}

// EngineState asks engine n what it has loaded; it counts as a look.
func (f *Fleet) EngineState(n int) (engine.State, error) {
	var s engine.State
	_, err := f.engine(http.MethodGet, "/v1/state", n, nil, &s)
	return s, err
}

// OrderPastTheFleet sends engine n an order that no router knows of.
func (f *Fleet) OrderPastTheFleet(n int, o engine.Order) {
	f.t.Helper()
	status, err := f.engine(http.MethodPost, "/v1/orders", n, o, nil)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, status)
}

// SetEngineFaults sets engine n's switches; zero faults end all.
func (f *Fleet) SetEngineFaults(n int, faults engine.Faults) {
	f.t.Helper()
	status, err := f.engine(http.MethodPut, "/admin/faults", n, faults, nil)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, status)
}

// WaitModel waits until engine n says that it has the model.
func (f *Fleet) WaitModel(n int, model string) {
	f.t.Helper()
	f.Eventually("the engine has the declared model", func() error {
		s, err := f.EngineState(n)
		if err == nil && s.Model != model {
			err = errors.Errorf("engine %d has model %q in place of %q", n, s.Model, model)
		}
		return err
	})
}

// WaitJournal waits until engine n's journal is as try wants it.
func (f *Fleet) WaitJournal(n int, what string, try func(OrderJournal) bool) {
	f.t.Helper()
	f.Eventually(what, func() error {
		if j := f.OrderJournal(n); !try(j) {
			return errors.Errorf("the journal of engine %d: %+v", n, j)
		}
		return nil
	})
}

// WaitLooks waits until routers have looked at engine n so many more times.
func (f *Fleet) WaitLooks(n int, more uint64) {
	f.t.Helper()
	before := f.OrderJournal(n).Looks
	f.WaitJournal(n, "the routers look at the engine", func(j OrderJournal) bool { return j.Looks >= before+more })
}

// OpenWeights asks the weight store past the fleet, and says whether it agreed.
func (f *Fleet) OpenWeights() bool {
	f.t.Helper()
	status, err := f.read(http.MethodPost, f.Ready.Platform+"/weights/open", struct{}{}, nil)
	require.NoError(f.t, err)
	return status == http.StatusOK
}

// PlatformStats reads the platform's counts.
func (f *Fleet) PlatformStats() platform.Stats {
	f.t.Helper()
	var s platform.Stats
	_, err := f.read(http.MethodGet, f.Ready.Platform+"/admin/stats", nil, &s)
	require.NoError(f.t, err)
	return s
}
