package examples_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/docrun"
	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/load"
)

// An operator sees a curve that no page explains, or looks for one that a page promises
// and that doesn't exist any more.
func TestThePageNamesEveryMetric(t *testing.T) {
	ready := fleettest.Start(t, devfleet.DemoPlan("", "")).Current()
	caller := load.NewCaller(ready.Model, ready.Service, time.Minute)
	defer caller.Close()
	for _, model := range []string{ready.Model, "nobody"} {
		caller.Model = model
		caller.Do(t.Context(), load.Request{
			Marker: "metrics", Org: ready.Organisations[0], Class: load.Normal, Form: load.Streamed,
			Entry: ready.Routers[0].Entry, Tokens: 3,
		})
	}
	page, err := os.ReadFile(filepath.Join(root, "docs/operators/metrics.md"))
	require.NoError(t, err)
	documented := docrun.DocumentedMetrics(string(page))
	var exposed []string
	require.Eventually(t, func() bool {
		exposed, err = docrun.ExposedMetrics(t.Context(), ready.Routers[0].Metrics)
		return err == nil && slices.Equal(documented, exposed)
	}, time.Minute, 200*time.Millisecond, "documented %v\nexposed %v", documented, &exposed)
}
